"""A part of prompts that crashes workers stands behind sixteen others."""

from gevent import monkey

monkey.patch_all()

from pathlib import Path

import gevent

from review.lib2.models import CrashStage
from review.lib2.runner import has_trouble, run_case

# Parts that all requests share, as those of one long conversation do.
COMMON_PARTS = [f"c{number:x}" for number in range(16)]
SOUND_PER_S = 8.0
BAD_PER_S = 1.0
PLAY_S = 30.0


def play(stage: CrashStage) -> bool:
    stage.start()
    stage.await_groups()
    sound = [*COMMON_PARTS, "feed"]
    gevent.spawn(stage.keep_sending, sound, is_bad=False, per_s=SOUND_PER_S)
    gevent.sleep(3.0)
    if has_trouble():
        bad = [*COMMON_PARTS, stage.bad_part]
        gevent.spawn(stage.keep_sending, bad, is_bad=True, per_s=BAD_PER_S)
    gevent.sleep(PLAY_S)
    stage.stopping = True
    gevent.sleep(3.0)
    return stage.tell(stage.list_late())


if __name__ == "__main__":
    run_case(Path(__file__).parent, CrashStage, play)
