"""The report of a soak as text, JSON and a plot over time."""

from pathlib import Path

from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure
from msgspec.json import encode
from msgspec.json import format as format_json

from wasabiwing_soak.promises import CallRecord
from wasabiwing_soak.promises import count_endings
from wasabiwing_soak.soak import SoakResult

FIGURE_INCHES = (11.0, 6.0)
DOTS_PER_INCH = 110

# Maximum number of violations in the text; the JSON file has all.
MAX_SHOWN_VIOLATIONS = 10


def report_lines(result: SoakResult) -> list[str]:
    """Returns the lines of the text report."""
    ended = ", ".join(
        f"{count} {name}"
        for name, count in sorted(count_endings(result.calls).items())
    )
    lines = [
        f"seed {result.options.seed}: {len(result.schedule)} faults,"
        f" {len(result.calls)} requests ({ended}),"
        f" {len(result.violations)} promises broken"
    ]
    for use in result.limit_uses:
        lines.append(
            f"  limit {use.limit.per_s:g}/s of {use.limit.server} from"
            f" {use.limit.from_s:.1f} to {use.limit.until_s:.1f} s: worst"
            f" window {use.worst}, allowed {use.allowed}, used share"
            f" {use.used_share:.2f}"
        )
    unframed = result.unframed_outcome
    if unframed.count:
        lines.append(
            f"  whole answers without length and chunks: {unframed.served} of"
            f" {unframed.count} served"
        )
    for outcome in result.stop_outcomes:
        lines.append(
            f"  {outcome.route} after SIGTERM: {outcome.servable_served} of"
            f" {outcome.servable} servable served; in all {outcome.served}"
            f" served, {outcome.refused} refused as not run,"
            f" {outcome.closed_unsent} closed before a server,"
            f" {outcome.cut} cut, {outcome.other} other"
        )
    for part in result.part_outcomes:
        lines.append(
            f"  part {part.part} crashed servers {part.crashes} times, sent"
            f" {part.late_arrivals} times after the verdict; sound requests:"
            f" {part.sound_served} of {part.sound} served, at other times"
            f" {part.other_served} of {part.other}"
        )
    for cut in result.cut_outcomes:
        lines.append(
            f"  {', '.join(cut.cut.nodes)} cut off ({cut.cut.way}) from"
            f" {cut.cut.from_s:.1f} to {cut.cut.until_s:.1f} s: {cut.served}"
            f" of {cut.tries} first tries served, others {cut.other_served}"
            f" of {cut.other_tries}"
        )
    for violation in result.violations[:MAX_SHOWN_VIOLATIONS]:
        lines.append(
            f"  {violation.at_s:7.3f} s  {violation.promise}:"
            f" {violation.detail}"
        )
    return lines


def write_report(folder: Path, result: SoakResult) -> None:
    """Writes ``soak.json`` and ``soak.png`` into the folder."""
    document = {
        "options": result.options,
        "endings": count_endings(result.calls),
        "violations": result.violations,
        "limits": result.limit_uses,
        "stops": result.stop_outcomes,
        "cuts": result.cut_outcomes,
        "parts": result.part_outcomes,
        "unframed": result.unframed_outcome,
        "disturbances": result.disturbances,
        "faults": result.schedule,
    }
    (folder / "soak.json").write_bytes(format_json(encode(document)))
    _draw(result).savefig(folder / "soak.png")


def _draw(result: SoakResult) -> Figure:
    """Draws the durations of all requests above the schedule of faults."""
    figure = Figure(figsize=FIGURE_INCHES, dpi=DOTS_PER_INCH)
    FigureCanvasAgg(figure)
    durations_axes, faults_axes = figure.subplots(
        2, 1, sharex=True, gridspec_kw={"height_ratios": (2, 3)}
    )
    for name, calls in _calls_by_ending(result.calls).items():
        durations_axes.scatter(
            [call.sent_s for call in calls],
            [call.ended_s - call.sent_s for call in calls],
            s=5,
            label=name,
        )
    durations_axes.set_ylabel("duration, s")
    durations_axes.legend(loc="upper right", fontsize=7)
    durations_axes.set_title(f"seed {result.options.seed}")
    kinds = sorted({fault.kind.value for fault in result.schedule})
    for fault in result.schedule:
        faults_axes.barh(
            kinds.index(fault.kind.value), fault.duration_s, left=fault.at_s
        )
    faults_axes.set_yticks(range(len(kinds)), kinds, fontsize=7)
    faults_axes.set_xlabel("seconds from the start of traffic")
    for violation in result.violations:
        durations_axes.axvline(violation.at_s, color="red", linewidth=0.8)
    figure.tight_layout()
    return figure


def _calls_by_ending(
    calls: tuple[CallRecord, ...],
) -> dict[str, list[CallRecord]]:
    calls_by_name: dict[str, list[CallRecord]] = {}
    for call in calls:
        name = str(call.status) if call.status else "no answer"
        calls_by_name.setdefault(name, []).append(call)
    return dict(sorted(calls_by_name.items()))
