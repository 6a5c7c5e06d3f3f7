"""Compares versions of the fleet by days that the users' bench plays with each.

The users' bench plays a day with the sources of a checkout, and writes the result as
an entry to the checkout's journal. The worth of a day differs by 0.05 from run to run:
a single run proves nothing. So two versions play the same days with the same seeds,
and the mean difference of these pairs is given with its confidence interval.

    python -m bench.played_days play --program PATH --site FILE --seeds 11,12 \
        --variant before=DIR --variant after=DIR --results FILE
    python -m bench.played_days read --variant after --results FILE ENTRY...
    python -m bench.played_days compare --results FILE before after

The bench allows one `run` at a time on a machine. It plays several days at once only
in a call that plays a whole site; `read` imports the days of such a call's entry.
"""

import json
import random
import re
import statistics
import subprocess
from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path
from typing import Annotated, NamedTuple

import msgspec
import typer

__all__ = [
    "Comparison",
    "DayResult",
    "compare",
    "confidence_interval",
    "day_results",
    "report",
]

DAYS = "trouble-1,scale-1,trouble-2,scale-2,trouble-3"
RESAMPLES = 2000
PROCESSOR_PRICE = "processor seconds"
# Fraction of the resampled means below the interval, and above it.
TAIL_FRACTION = 0.025

app = typer.Typer(add_completion=False)


class DayResult(msgspec.Struct, frozen=True):
    """Result of one played day.

    Attributes
    ----------
    worth : float
        Fraction earned of the day's possible payoff, less `prices`.
    parts : dict of str to float
        Weighted terms whose sum is the worth before prices: the whole day, the worst
        seconds, ...
    prices : dict of str to float
        Amounts subtracted from the worth, by name.
    kinds : list of float or None
        Fraction of the payoff earned with each kind of request.
    rules : dict of str to int
        Violations of each rule that was broken.
    """

    variant: str
    day: str
    seed: int
    worth: float
    served: float
    refused: float
    failed: float
    parts: dict[str, float]
    prices: dict[str, float]
    kinds: list[float | None]
    rules: dict[str, int]


class Comparison(NamedTuple):
    """Means of one figure in two versions, and the interval of their difference."""

    name: str
    before: float
    after: float
    low: float
    high: float

    @property
    def difference(self) -> float:
        """Mean of the second version minus that of the first."""
        return self.after - self.before


def day_results(variant: str, entry: dict) -> list[DayResult]:
    """Return the results of all days of a journal entry.

    The price of processor time differs from run to run, so it is added back.
    """
    return [_day_result(variant, played) for played in entry["days"]]


def _day_result(variant: str, played: dict) -> DayResult:
    prices = {name: worth for name, _, worth in played["prices"]}
    return DayResult(
        variant,
        played["name"].partition(" ")[0],
        played["seed"],
        played["G"] + prices.pop(PROCESSOR_PRICE, 0.0),
        played["served"],
        played["refused"],
        played["failed"],
        {name: weight * value for name, weight, value in played["parts"]},
        prices,
        played["by_class"],
        played["rules"],
    )


def confidence_interval(differences: list[float], seed: int = 1) -> tuple[float, float]:
    """Return the bootstrap confidence interval of the mean difference."""
    rng = random.Random(seed)
    means = sorted(
        statistics.fmean(rng.choices(differences, k=len(differences)))
        for _ in range(RESAMPLES)
    )
    cut = int(TAIL_FRACTION * RESAMPLES)
    return means[cut], means[-1 - cut]


def compare(results: Iterable[DayResult], before: str, after: str) -> list[Comparison]:
    """Compare two variants over the days and seeds that both played."""
    results = list(results)
    pairs = _pairs(results, before, after)
    names = list(dict.fromkeys(name for pair in pairs for name in _figures(pair[1])))
    return [_compare_figure(name, pairs) for name in names]


def report(
    results: Iterable[DayResult], before: str, after: str, least: float = 0.002
) -> str:
    """Return a table of days and figures.

    Parameters
    ----------
    least : float
        Smallest difference of a figure, other than the worth, that is listed.
    """
    results = list(results)
    lines = [f"{'day':<12} {before:>10} {after:>10}  pairs"]
    by_day = defaultdict(list)
    for pair in _pairs(results, before, after):
        by_day[pair[0].day].append(pair)
    for day, pairs in by_day.items():
        worths = [
            statistics.fmean(result.worth for result in column)
            for column in zip(*pairs, strict=True)
        ]
        lines.append(f"{day:<12} {worths[0]:10.3f} {worths[1]:10.3f}  {len(pairs)}")
    for comparison in compare(results, before, after):
        if comparison.name == "worth" or abs(comparison.difference) >= least:
            lines.append(
                f"{comparison.name:<50} {comparison.before:8.3f} "
                f"{comparison.after:8.3f} {comparison.difference:+8.3f}  "
                f"[{comparison.low:+.3f}, {comparison.high:+.3f}]"
            )
    broken = [
        result
        for result in results
        if result.rules and result.variant in (before, after)
    ]
    lines += [
        f"BROKEN {result.variant} {result.day} {result.seed} {result.rules}"
        for result in broken
    ]
    return "\n".join(lines)


def _pairs(results, before: str, after: str) -> list[tuple[DayResult, DayResult]]:
    by_key = {(result.variant, result.day, result.seed): result for result in results}
    keys = [key[1:] for key in by_key if key[0] == before]
    return [
        (by_key[before, *key], by_key[after, *key])
        for key in keys
        if (after, *key) in by_key
    ]


def _figures(result: DayResult) -> dict[str, float]:
    figures = {name: getattr(result, name) for name in _FIELDS}
    figures |= {f"part: {name}": value for name, value in result.parts.items()}
    figures |= {f"price: {name}": value for name, value in result.prices.items()}
    figures |= {
        f"kind {number}": share
        for number, share in enumerate(result.kinds)
        if share is not None
    }
    return figures


_FIELDS = ("worth", "served", "refused", "failed")


def _compare_figure(name: str, pairs: list[tuple[DayResult, DayResult]]) -> Comparison:
    values = [
        (_figures(first).get(name, 0.0), _figures(second).get(name, 0.0))
        for first, second in pairs
    ]
    low, high = confidence_interval([after - before for before, after in values])
    before, after = (statistics.fmean(column) for column in zip(*values, strict=True))
    return Comparison(name, before, after, low, high)


class _DayRun(NamedTuple):
    """A day to play with the checkout of one variant."""

    variant: str
    checkout: Path
    day: str
    seed: int


def _play_day(program: Path, site: Path, play: _DayRun) -> DayResult | None:
    """Play one day; None if the bench wrote no entry or no day."""
    command = [program, "run", site, play.day, "--no-cpu", "--why", play.variant]
    if play.seed:
        command += ["--seed", str(play.seed)]
    done = subprocess.run(
        [*map(str, command)], cwd=play.checkout, capture_output=True, text=True
    )
    match = re.search(r"snapshot ([0-9a-f]{8})", done.stdout + done.stderr)
    entries = match and list((play.checkout / "journal").glob(f"*-{match[1]}.json"))
    if not entries:
        typer.echo(f"{play}: {done.stdout[-500:]}{done.stderr[-500:]}", err=True)
        return None
    entry = json.loads(entries[0].read_text())
    if not entry["days"]:
        typer.echo(f"{play}: {entry['error']}", err=True)
        return None
    [result] = day_results(play.variant, entry)
    return result


def _read_results(results: Path) -> list[DayResult]:
    if not results.exists():
        return []
    return [
        msgspec.json.decode(line, type=DayResult)
        for line in results.read_text().splitlines()
    ]


@app.command("play")
def play_command(
    program: Annotated[Path, typer.Option()],
    site: Annotated[Path, typer.Option()],
    variant: Annotated[list[str], typer.Option(help="NAME=CHECKOUT")],
    results: Annotated[Path, typer.Option(help="JSON lines; appended to")],
    days: Annotated[str, typer.Option()] = DAYS,
    seeds: Annotated[str, typer.Option(help="0: the day's own")] = "0",
) -> None:
    """Play days with each variant, one after another."""
    plays = [
        _DayRun(name, Path(checkout), day, int(seed))
        for seed in seeds.split(",")
        for day in days.split(",")
        for name, checkout in (named.split("=", 1) for named in variant)
    ]
    for play in plays:
        result = _play_day(program, site, play)
        if result is not None:
            _append_results(results, [result])


@app.command("read")
def read_command(
    entries: list[Path],
    variant: Annotated[str, typer.Option()],
    results: Annotated[Path, typer.Option()],
) -> None:
    """Import the days of journal entries that the bench wrote."""
    for entry in entries:
        _append_results(results, day_results(variant, json.loads(entry.read_text())))


def _append_results(results: Path, played: list[DayResult]) -> None:
    with results.open("ab") as out:
        out.writelines(msgspec.json.encode(result) + b"\n" for result in played)


@app.command("compare")
def compare_command(
    before: str, after: str, results: Annotated[Path, typer.Option()]
) -> None:
    """Compare two variants over the days and seeds that both played."""
    typer.echo(report(_read_results(results), before, after))


if __name__ == "__main__":
    app()
