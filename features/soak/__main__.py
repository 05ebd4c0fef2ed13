"""Plays soaks by hand: ``python -m features.soak --seeds 1-50 --jobs 4``."""

import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import typer

from features.soak.run import Soak, play

app = typer.Typer(add_completion=False)


@app.command()
def one(
    seed: int,
    seconds: float = 12.0,
    entries: int = 3,
    targets: int = 5,
    callers: int = 3,
    isolation: bool = False,
    logs: Path = Path("target/soak"),
) -> None:
    """Play one seed; print what it broke and exit with 1 if it broke anything."""
    history = play(Soak(seed, seconds, entries, targets, callers, isolation), logs / f"seed-{seed}")
    accepted = sum(job.fate.name == "ACCEPTED" for job in history.jobs.values())
    typer.echo(
        f"seed {seed}: {len(history.jobs)} jobs, {accepted} accepted, {len(history.runs)} runs, "
        f"{len(history.given_up)} given up by mistake, {len(history.violations)} promises broken"
    )
    for violation in history.violations:
        typer.echo(f"  {violation}")
    raise typer.Exit(1 if history.violations else 0)


@app.command()
def many(
    first: int,
    last: int,
    jobs: int = 4,
    seconds: float = 12.0,
    entries: int = 3,
    targets: int = 5,
    callers: int = 3,
    isolation: bool = False,
) -> None:
    """Play all seeds from `first` to `last`, some at a time, each in a process of its own."""
    sizes = f"--seconds={seconds} --entries={entries} --targets={targets} --callers={callers}"
    sizes += " --isolation" if isolation else ""

    def play_seed(seed: int) -> int:
        command = [sys.executable, "-m", "features.soak", "one", str(seed), *sizes.split()]
        result = subprocess.run(command, capture_output=True, text=True, check=False)
        typer.echo(result.stdout.strip() or f"seed {seed}: {result.stderr.strip()[-500:]}")
        return result.returncode

    with ThreadPoolExecutor(jobs) as pool:
        failed = sum(code != 0 for code in pool.map(play_seed, range(first, last + 1)))
    typer.echo(f"{last - first + 1} seeds played, {failed} failed")
    raise typer.Exit(1 if failed else 0)


if __name__ == "__main__":
    app()
