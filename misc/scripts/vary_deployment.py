#!/usr/bin/env python3
"""Writes variants of a deployment file of the users' bench: other call times, batches, room, engines, priorities, stages.

What decides must not stand for one deployment; these are played against an earlier version of the program.
Usage: vary_deployment.py FILE FOLDER; prints the names of the variants.
"""
import pathlib
import re
import sys


def scale(p_text, p_field, p_factor, p_whole=False):
    """Multiplies each number of a field; whole ones stay at least 1."""
    def replace(p_match):
        number = float(p_match[2]) * p_factor
        return p_match[1] + (str(max(1, round(number))) if p_whole else f"{number:.6g}")
    return re.sub(rf"(\b{p_field} = )([\d.]+)", replace, p_text)


def scale_stages(p_text, p_field, p_factor, p_whole=False):
    """Multiplies a field inside the stage pools only."""
    return re.sub(r"stage = \{[^}]*\}", lambda p_match: scale(p_match[0], p_field, p_factor, p_whole), p_text)


def scale_engines(p_text, p_factor):
    """Engines so many times as fast."""
    faster = scale(p_text, "prefill_tokens_per_ms", p_factor)
    return scale(scale(faster, "step_ms", 1.0 / p_factor), "context_ms_per_k", 1.0 / p_factor)


def turn_priorities(p_text):
    """The least urgent kind of request becomes the most urgent."""
    return re.sub(r"(\bpriority = )(\d)", lambda p_match: p_match[1] + str(2 - min(2, int(p_match[2]))), p_text)


def drop_stages(p_text):
    """Requests go to their engines at once."""
    return re.sub(r", stages = \[.*\] \},$", " },", p_text, flags=re.M)


def leave_one_replica(p_text):
    """Each stage pool has one replica, with room and batch for the work of all."""
    def replace(p_match):
        line = re.sub(r"servers = \[(\{ zone = \"[^\"]*\", count = )\d+ \}.*?\]", r"servers = [\g<1>1 }]", p_match[0])
        for field in ("batch", "room_mb"):
            line = scale(line, field, 5.0, field == "batch")
        return scale(line, "item_ms", 0.2)
    return re.sub(r"^  \{ name = .*stage = \{.*$", replace, p_text, flags=re.M)


VARIANTS = {
    "calls-halved": lambda p_text: scale_stages(p_text, "call_ms", 0.5),
    "calls-doubled": lambda p_text: scale_stages(p_text, "call_ms", 2.0),
    "batches-halved": lambda p_text: scale_stages(p_text, "batch", 0.5, True),
    "batches-doubled": lambda p_text: scale_stages(p_text, "batch", 2.0, True),
    "room-halved": lambda p_text: scale_stages(p_text, "room_mb", 0.5),
    "room-doubled": lambda p_text: scale_stages(p_text, "room_mb", 2.0),
    "engines-halved": lambda p_text: scale_engines(p_text, 0.5),
    "engines-doubled": lambda p_text: scale_engines(p_text, 2.0),
    "priorities-turned": turn_priorities,
    "no-stages": drop_stages,
    "pools-of-one": leave_one_replica,
}


def main():
    source, folder = pathlib.Path(sys.argv[1]), pathlib.Path(sys.argv[2])
    folder.mkdir(parents=True, exist_ok=True)
    text = source.read_text()
    for name, vary in VARIANTS.items():
        varied = vary(text)
        if varied == text:
            sys.exit(f"{name} changes nothing in {source}")
        (folder / f"{name}.toml").write_text(varied)
        print(name)


if __name__ == "__main__":
    main()
