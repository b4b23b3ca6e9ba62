"""Output of a replay: progress, table of verdicts, JSON and a plot."""

from pathlib import Path
from sys import stderr

from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure
from msgspec.json import encode
from msgspec.json import format as format_json

from wasabiwing.outcome_checks import Verdict
from wasabiwing.outcome_checks import VerdictState
from wasabiwing.replay_records import Ending
from wasabiwing.replay_records import ReplayedRequest
from wasabiwing.replay_records import ReplayRecords
from wasabiwing.replay_run import ReplayProgress
from wasabiwing.trace_format import Trace

FIGURE_INCHES = (10.0, 7.0)
DOTS_PER_INCH = 110


def show_progress(progress: ReplayProgress) -> None:
    """Updates the progress line on a terminal; does nothing elsewhere."""
    if not stderr.isatty():
        return
    incomplete = sum(
        item.ending is not Ending.COMPLETE for item in progress.records
    )
    stderr.write(
        f"\r{progress.at_s:6.1f} s  sent {progress.sent}/{progress.total}"
        f"  in flight {progress.in_flight}  not complete {incomplete}   "
    )
    stderr.flush()


def verdict_table(
    trace: Trace, records: ReplayRecords, verdicts: tuple[Verdict, ...]
) -> list[str]:
    """Returns the lines of the table of verdicts, with the findings below."""
    counts = {ending: 0 for ending in Ending}
    for item in records.requests:
        counts[item.ending] += 1
    max_delay_s = max(
        (item.sent_s - item.due_s for item in records.requests), default=0.0
    )
    ended = ", ".join(
        f"{number} {ending.value}" for ending, number in counts.items()
    )
    rows = [("outcome", "stated", "seen", "verdict")]
    rows += [
        (item.outcome, item.stated, item.seen, item.state.value)
        for item in verdicts
    ]
    widths = [max(len(row[column]) for row in rows) for column in range(4)]
    lines = [
        f"trace {trace.header.name}: {len(records.requests)} requests;"
        f" {ended}",
        f"latest sending {max_delay_s * 1000:.0f} ms after the trace's time",
    ]
    lines += [
        "  ".join(
            text.ljust(width) for text, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]
    for verdict in verdicts:
        if verdict.state is VerdictState.MET:
            continue
        lines += [
            f"  {verdict.outcome}: {finding}" for finding in verdict.findings
        ]
    return lines


def write_output(
    folder: Path,
    trace: Trace,
    records: ReplayRecords,
    verdicts: tuple[Verdict, ...],
) -> None:
    """Writes ``NAME.json`` and ``NAME.png`` of a trace into a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    document = encode(
        {
            "trace": trace.header,
            "verdicts": verdicts,
            "events": records.events,
            "requests": records.requests,
            "backend": records.backend,
        }
    )
    name = trace.header.name
    (folder / f"{name}.json").write_bytes(format_json(document))
    plot(folder / f"{name}.png", records)


def plot(path: Path, records: ReplayRecords) -> None:
    """Draws latencies and requests in flight over time into a PNG file."""
    figure = Figure(figsize=FIGURE_INCHES, layout="constrained")
    FigureCanvasAgg(figure)
    latency_axes, in_flight_axes = figure.subplots(2, 1, sharex=True)
    classes = sorted({item.priority_class for item in records.requests})
    for number in classes:
        shown = [
            item
            for item in records.requests
            if item.priority_class == number and item.ending is Ending.COMPLETE
        ]
        latency_axes.scatter(
            [item.sent_s for item in shown],
            [item.ended_s - item.sent_s for item in shown],
            s=8,
            label=f"class {number}",
        )
    incomplete = [
        item for item in records.requests if item.ending is not Ending.COMPLETE
    ]
    latency_axes.scatter(
        [item.sent_s for item in incomplete],
        [item.ended_s - item.sent_s for item in incomplete],
        s=20,
        marker="x",
        color="black",
        label="not complete",
    )
    latency_axes.set_ylabel("time to the end of the answer (s)")
    times, in_flight_counts = in_flight_steps(records.requests)
    in_flight_axes.step(times, in_flight_counts, where="post")
    in_flight_axes.set_ylabel("requests in flight")
    in_flight_axes.set_xlabel("time (s)")
    for event in records.events:
        for axes in (latency_axes, in_flight_axes):
            axes.axvline(event.started_s, color="grey", linestyle=":")
        in_flight_axes.annotate(
            event.event.action.value,
            (event.started_s, max(in_flight_counts, default=1)),
            rotation=90,
            fontsize=7,
            va="top",
        )
    if records.requests:
        latency_axes.legend()
    figure.savefig(path, dpi=DOTS_PER_INCH)


def in_flight_steps(
    requests: tuple[ReplayedRequest, ...],
) -> tuple[list[float], list[int]]:
    """Returns the times of changes and the requests in flight after each."""
    changes = [(item.sent_s, 1) for item in requests]
    changes += [(item.ended_s, -1) for item in requests]
    times: list[float] = []
    in_flight_counts: list[int] = []
    in_flight = 0
    for at_s, change in sorted(changes):
        in_flight += change
        times.append(at_s)
        in_flight_counts.append(in_flight)
    return times, in_flight_counts
