"""Texts near the size limit of a message, which have encodings of different lengths on their two ways."""

from __future__ import annotations

import json
from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from platform_standin import EXTRAS, ID, SETTINGS, Platform, read, run, set_ups, until

from burlmast.node import frames, lines
from burlmast.node.configuration import Configuration
from burlmast.node.frames import FrameReader, frame
from burlmast.node.lines import Line, LineReader
from burlmast.node.set_up import parse_set_up

MESSAGE_BYTES = 16 * 1024  # PROTOCOL, "Messages": at most 16 KiB fit in one message
SESSION = int(ID, 16)
# Each in one byte or more of UTF-8, and in up to six of JSON.
PIECES = ("a", "\r\n", '"', "\\", "/", "\x00", "\x1f", "\x7f", "\u00fc", "\u2028", "\U0001f3a5")
TEXTS = st.builds(
    lambda piece, length, tail: piece * ((length - len(tail)) // len(piece.encode())) + tail,
    st.sampled_from(PIECES),
    st.integers(16_000, 16_400),
    st.text(st.sampled_from("".join(PIECES)), max_size=40),
)


@pytest.fixture(scope="module")
def configuration(tmp_path_factory: pytest.TempPathFactory) -> Configuration:
    """That of the stand-in platform."""
    path = tmp_path_factory.mktemp("configuration") / "config.json"
    Platform(path.parent, 0).write(1)
    return read(path)


@given(TEXTS)
def test_a_description_of_a_host_goes_out_whole_in_a_line_or_is_named_too_long(text: str) -> None:
    """Guards against an answer in a line that no viewer has to read (review/10)."""
    longest = len(msgspec.json.encode({"type": "answer", "id": ID, "fields": {}, "sdp": text})) + 1
    if longest > MESSAGE_BYTES:
        with pytest.raises(ValueError, match=f"{longest} bytes"):
            lines.answer(ID, text)
        return
    (found,), wrong = LineReader().feed(lines.answer(ID, text))
    assert wrong is None and found.sdp == text


@given(TEXTS)
def test_what_fits_in_a_line_of_a_viewer_fits_in_a_message_to_a_host(
    configuration: Configuration, text: str
) -> None:
    """Guards against a set-up that is taken and cannot be written to any host."""
    fields = {"class": "paid", "left": "1", "key": "1", "extras": "home:0;copies:1;top:0"}
    for told in (text, text.replace("\r\n", "\n"), text[: len(text) // 7]):
        for ascii_only in (False, True):
            line = {"type": "setup", "id": ID, "fields": fields, "sdp": told}
            raw = json.dumps(line, ensure_ascii=ascii_only, separators=(",", ":")).encode() + b"\n"
            found, _ = LineReader().feed(raw)
            if not found:
                assert len(raw) > MESSAGE_BYTES
                continue
            request, _ = parse_set_up(found[0], configuration)
            message = frame(
                frames.SETUP,
                SESSION,
                {
                    frames.CLASS: request.sent.plan,
                    frames.WAIT: b"9999999",
                    frames.TITLE: request.sent.title,
                    frames.RUNG: b"255",
                    frames.DESCRIPTION: request.sent.description,
                },
            )
            assert len(message) <= MESSAGE_BYTES
            (taken,), _ = FrameReader().feed(message)
            assert taken.parameters[frames.DESCRIPTION] == told.encode()


@pytest.mark.parametrize("piece", PIECES)
def test_an_answer_too_long_for_a_line_fails_at_once_and_leaves_nothing_standing(
    tmp_path: Path, piece: str
) -> None:
    """Guards against an unreadable answer, and against a session that plays on for nobody (review/10)."""
    long = (piece * 15_990).encode()[:15_990].decode(errors="ignore")

    async def work(one: Platform) -> None:
        def describe(text: str) -> None:
            parameters = {frames.DESCRIPTION: text.encode()}
            for host in one.hosts:
                host.does = lambda message: frame(frames.ANSWER, message.session, parameters)

        line, other = await one.line(), "00000000000000aa"
        describe(long)
        line.set_up()
        raw = await line.reader.readline()
        told = json.loads(raw)
        assert len(raw) <= MESSAGE_BYTES
        if told["type"] == "answer":
            assert told["sdp"] == long
        else:
            assert (told["type"], told["cause"]) == ("release", lines.FAILED)
            await until(lambda: one.host_of().of(frames.RELEASE))
            assert not one.program.driver.held and not one.program.listener.known
            (viewer,) = one.program.listener.viewers
            assert viewer.held == 0 and not viewer.open
        assert len(set_ups(one)) == 1, "elsewhere it would likely be as long"
        describe("short")
        line.set_up(other)  # the seat is free again, where it was taken
        assert (await line.hear())["type"] == ("release" if told["type"] == "answer" else "answer")

    family = {**SETTINGS["familyInfo"], "classSeats": [1]}
    run(work, tmp_path, 1, settings={**SETTINGS, "familyInfo": family})


def test_a_ping_whose_reply_would_be_too_long_costs_its_connection_alone(tmp_path: Path) -> None:
    """Guards against a reply that cannot be read, to an id that the protocol does not have."""

    async def work(one: Platform) -> None:
        line, other = await one.line(), await one.line()
        raw = b'{"type":"ping","id":"%s","cause":0}\n'
        line.raw(raw % (b"a" * (MESSAGE_BYTES - len(raw) + 2)))
        assert await line.hear() == {}, "closed, with nothing said"
        other.set_up(extras=EXTRAS)
        assert (await other.hear())["type"] == "answer"

    run(work, tmp_path, 1)


def test_lines_and_messages_have_one_limit() -> None:
    """Guards against two writers with limits of their own."""
    with pytest.raises(ValueError):
        frame(frames.ANSWER, SESSION, {frames.DESCRIPTION: b"a" * (MESSAGE_BYTES - 13)})
    assert (
        len(frame(frames.ANSWER, SESSION, {frames.DESCRIPTION: b"a" * (MESSAGE_BYTES - 14)})) == MESSAGE_BYTES
    )
    with pytest.raises(ValueError):
        lines.pong("a" * MESSAGE_BYTES, True)
    assert isinstance(LineReader().feed(lines.pong("a" * 16_000, True))[0][0], Line)
