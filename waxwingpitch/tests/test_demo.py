"""The demonstration command, also with OpenAI's client library."""

from __future__ import annotations

import json
import signal
import subprocess
import sys

import openai
import pytest

from ..standins.answers import full_answer

COMMAND = [sys.executable, "-m", "waxwingpitch", "demo"]


@pytest.mark.processes
def test_demo_shows_the_whole_path():
    completed = subprocess.run(COMMAND, capture_output=True, text=True, timeout=60)
    assert completed.returncode == 0, completed.stderr
    assert "took effect 1 time" in completed.stdout
    assert '"replayed: true' not in completed.stderr
    state = completed.stdout.split("== state\n")[1].split("== attendance")[0]
    assert json.loads(state)["configuration"]["revision"] == 1


@pytest.mark.processes
def test_demo_serves_an_existing_client_library():
    process = subprocess.Popen(
        [*COMMAND, "--serve"], stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True
    )
    try:
        lines = dict(process.stdout.readline().strip().split(": ", 1) for _ in range(6))
        client = openai.OpenAI(
            base_url=lines["URL"] + "/v1", api_key=lines["TOKEN"], max_retries=0
        )
        assert [model.id for model in client.models.list()] == ["lesson"]
        messages = [{"role": "user", "content": "Habari"}]
        expected = full_answer("user: Habari", 12)
        answer = client.chat.completions.create(
            model="lesson", messages=messages, max_tokens=12
        )
        assert answer.choices[0].message.content == expected
        assert answer.usage.completion_tokens == 12
        stream = client.chat.completions.create(
            model="lesson",
            messages=messages,
            max_tokens=12,
            stream=True,
            stream_options={"include_usage": True},
        )
        chunks = list(stream)
        text = "".join(c.choices[0].delta.content or "" for c in chunks if c.choices)
        assert text == expected
        assert chunks[-1].usage.completion_tokens == 12
        with pytest.raises(openai.NotFoundError) as not_found:
            client.chat.completions.create(model="nope", messages=messages)
        assert not_found.value.body["code"] == 1003
        assert not_found.value.body["ran"] == "no"
    finally:
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=20) == 0
