"""Compares two versions of the fleet by their scores on simulated days.

The users' bench is a separate program. It runs ("plays") a simulated day with the
sources of a checkout, and writes the result to the checkout's journal. The score of a
day is called its worth. It varies by 0.05 between runs of the same version, so two
single runs can't show which version is better. Therefore, both versions run the same
days with the same seeds. ``compare`` prints the mean difference between the versions
and its confidence interval.

    python -m bench.played_days play --program PATH --site FILE --seeds 11,12 \
        --variant before=DIR --variant after=DIR --results FILE
    python -m bench.played_days read --variant after --results FILE ENTRY...
    python -m bench.played_days compare --results FILE before after

The users' bench allows only one ``run`` command at a time on a machine. It runs several
days in parallel only if the command runs all days of a site. ``read`` imports the
days from the journal entry of such a command.
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
# Fraction of the resampled means that lie below the confidence interval. The same
# fraction lies above it.
TAIL_FRACTION = 0.025

app = typer.Typer(add_completion=False)


class DayResult(msgspec.Struct, frozen=True):
    """Result of one simulated day.

    Attributes
    ----------
    worth : float
        Score of the day: the sum of `parts` minus the sum of `prices`.
    parts : dict of str to float
        Weighted fractions of the possible payoff, by name: of the day, of its worst
        seconds, ...
    prices : dict of str to float
        Costs that are subtracted from the score, by name. The price of processor time
        is not included.
    kinds : list of float or None
        Fraction of the possible payoff that was earned with each kind of request, or
        None.
    rules : dict of str to int
        Number of violations, by name of the violated rule.
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
    """Means of one figure in two versions.

    Attributes
    ----------
    low, high : float
        Bounds of the confidence interval of the difference of the means.
    """

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
    """Return the results of all days of a journal entry of the users' bench.

    The users' bench subtracts the price of processor time from a day's score. Here,
    this price is added to the score again and removed from the prices, because
    processor time varies between runs of the same version.
    """
    return [_day_result(variant, day) for day in entry["days"]]


def _day_result(variant: str, day: dict) -> DayResult:
    prices = {name: worth for name, _, worth in day["prices"]}
    return DayResult(
        variant,
        day["name"].partition(" ")[0],
        day["seed"],
        day["G"] + prices.pop(PROCESSOR_PRICE, 0.0),
        day["served"],
        day["refused"],
        day["failed"],
        {name: weight * value for name, weight, value in day["parts"]},
        prices,
        day["by_class"],
        day["rules"],
    )


def confidence_interval(differences: list[float], seed: int = 1) -> tuple[float, float]:
    """Return the bounds of the bootstrap confidence interval of the mean difference."""
    rng = random.Random(seed)
    means = sorted(
        statistics.fmean(rng.choices(differences, k=len(differences)))
        for _ in range(RESAMPLES)
    )
    cut_count = int(TAIL_FRACTION * RESAMPLES)
    return means[cut_count], means[-1 - cut_count]


def compare(results: Iterable[DayResult], before: str, after: str) -> list[Comparison]:
    """Return a comparison of each figure, over the days and seeds that both ran."""
    results = list(results)
    pairs = _pairs(results, before, after)
    names = list(dict.fromkeys(name for pair in pairs for name in _figures(pair[1])))
    return [_compare_figure(name, pairs) for name in names]


def report(
    results: Iterable[DayResult], before: str, after: str, min_difference: float = 0.002
) -> str:
    """Return two tables as text, and the violated rules.

    The first table has the mean score of each day; the second, the comparison of each
    figure.

    Parameters
    ----------
    min_difference : float
        Figures with a smaller difference are omitted, except the worth.
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
        if comparison.name == "worth" or abs(comparison.difference) >= min_difference:
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
        f"kind {number}": fraction
        for number, fraction in enumerate(result.kinds)
        if fraction is not None
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
    """A simulated day to run with the checkout of one variant."""

    variant: str
    checkout: Path
    day: str
    seed: int


def _run_day(program: Path, site: Path, day_run: _DayRun) -> DayResult | None:
    """Run one day with the users' bench and return its result.

    Returns None if the bench wrote no journal entry, or an entry without a day. Then,
    prints the output or the error of the bench.
    """
    command = [program, "run", site, day_run.day, "--no-cpu", "--why", day_run.variant]
    if day_run.seed:
        command += ["--seed", str(day_run.seed)]
    completed = subprocess.run(
        [*map(str, command)], cwd=day_run.checkout, capture_output=True, text=True
    )
    match = re.search(r"snapshot ([0-9a-f]{8})", completed.stdout + completed.stderr)
    entries = match and list((day_run.checkout / "journal").glob(f"*-{match[1]}.json"))
    if not entries:
        typer.echo(
            f"{day_run}: {completed.stdout[-500:]}{completed.stderr[-500:]}", err=True
        )
        return None
    entry = json.loads(entries[0].read_text())
    if not entry["days"]:
        typer.echo(f"{day_run}: {entry['error']}", err=True)
        return None
    [result] = day_results(day_run.variant, entry)
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
    results: Annotated[Path, typer.Option(help="File of JSON lines to append to")],
    days: Annotated[str, typer.Option()] = DAYS,
    seeds: Annotated[str, typer.Option(help="0 for the default seed of the day")] = "0",
) -> None:
    """Run days with the users' bench and each variant, one after the other."""
    day_runs = [
        _DayRun(name, Path(checkout), day, int(seed))
        for seed in seeds.split(",")
        for day in days.split(",")
        for name, checkout in (named.split("=", 1) for named in variant)
    ]
    for day_run in day_runs:
        result = _run_day(program, site, day_run)
        if result is not None:
            _append_results(results, [result])


@app.command("read")
def read_command(
    entries: list[Path],
    variant: Annotated[str, typer.Option()],
    results: Annotated[Path, typer.Option()],
) -> None:
    """Append the days of journal entries of the users' bench to the results file."""
    for entry in entries:
        _append_results(results, day_results(variant, json.loads(entry.read_text())))


def _append_results(results: Path, new_results: list[DayResult]) -> None:
    with results.open("ab") as out:
        out.writelines(msgspec.json.encode(result) + b"\n" for result in new_results)


@app.command("compare")
def compare_command(
    before: str, after: str, results: Annotated[Path, typer.Option()]
) -> None:
    """Print a comparison of two variants over the days and seeds that both ran."""
    typer.echo(report(_read_results(results), before, after))


if __name__ == "__main__":
    app()
