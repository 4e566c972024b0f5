"""Turns an adapter's settings into a Deployment: names become indices, absent keys become defaults.

Keys of the settings whose names differ from the fields:

- grades -> workloads. In each: aim -> objective, aim_stretch -> stretch, worth -> value,
  late_worth -> late_value, group -> reach, window -> key_retention, serial_by_key -> in_order,
  zones_open -> zones, models_allowed -> kinds.
- balancers -> dispatchers, quota_per_s of tenants -> quotas (per second), membership_mode -> list_pushed,
  over_share_worth -> over_quota_value.
- limits: cancelling -> may_cancel, send_cap -> max_attempts; max_retry_after counts only with retry_after.
- extra, lists by workload: parallelism -> threads, holds_tables, class_waits -> waits_for_loads.
- extra: cpu_of_kind -> cores, memory_by_kind_mb -> memory_mb, grants_count -> grants, memory_short -> swaps,
  grant_cap -> largest_grant, note_period -> progress_interval.
- rules: cold -> cold_for, fall_multiple -> cold_multiple, tip_after -> cold_window,
  order_settle -> order_pause, extra_floor -> retry_floor, repeat_ratio -> retry_ratio,
  counted_over -> retry_window.

All durations are in ms.
"""

from collections.abc import Sequence
from typing import Any

from .interface import Deployment, Effect, Reach, Workload

EFFECTS = {"repeatable": Effect.IDEMPOTENT, "by_key": Effect.IDEMPOTENT_BY_KEY, "once": Effect.NON_IDEMPOTENT}
REACHES = {"all": Reach.ALL, "zone": Reach.ZONE, "cell": Reach.CELL}
REQUESTS_IN_FLIGHT = "rif"  # the name, in reports, of the number of requests that an engine holds


def indices(names: Sequence[Any] | None, known: Sequence[str]) -> tuple[int, ...] | None:
    """Indices of zones or kinds of machine that are given by name or by index. None: no restriction.

    Raises:
        ValueError: A name is not among the known ones.
    """
    if not names:
        return None
    return tuple(name if isinstance(name, int) else known.index(name) for name in names)


def optional_float(value: Any) -> float | None:
    """The value as a float; None if it is None."""
    return None if value is None else float(value)


class BadSettings(ValueError):
    """The settings cannot be used; the message says why."""


def without_nulls(value: Any) -> Any:
    """Drop the keys whose value is null, at every depth. Null entries of lists stay."""
    if isinstance(value, dict):
        return {name: without_nulls(inner) for name, inner in value.items() if inner is not None}
    return [without_nulls(inner) for inner in value] if isinstance(value, list) else value


def report_field_names(options: dict[str, Any]) -> list[str]:
    """The names of the values in the reports that come with responses; empty if none come."""
    report = options.get("report") or {}
    names = [str(name) for name in report.get("fields") or []]
    return names if report.get("how") == "piggyback" else []


def parse_deployment(options: object) -> Deployment:
    """The Deployment that these settings describe.

    Args:
        options: The parsed JSON settings. Keys whose value is null count as absent.

    Raises:
        BadSettings: A key is missing, or a value has the wrong type or is unknown.
    """
    if not isinstance(options, dict):
        raise BadSettings("settings are not a JSON object")
    try:
        return _parse_deployment(without_nulls(options))
    except KeyError as missing:
        raise BadSettings(f"settings: {missing} is missing or has a value that is not known") from None
    except (TypeError, ValueError, AttributeError, IndexError) as fault:
        raise BadSettings(f"settings cannot be used: {fault}") from None


def _parse_deployment(options: dict[str, Any]) -> Deployment:
    extra, limits, rules = options.get("extra", {}), options.get("limits", {}), options.get("rules", {})
    zones, models, grades = options.get("zones", []), options.get("models", []), options["grades"]
    threads, holds, waits = (
        [*extra.get(name, []), *[None] * len(grades)]
        for name in ("parallelism", "holds_tables", "class_waits")
    )
    fields = report_field_names(options)
    workloads = tuple(
        Workload(
            objective=float(grade["aim"]),
            stretch=float(grade.get("aim_stretch", 0.0)),
            deadline=float(grade["deadline"]),
            value=float(grade.get("worth", 1.0)),
            late_value=float(grade.get("late_worth", 0.0)),
            effect=EFFECTS[grade.get("effect", "repeatable")],
            reach=REACHES[grade.get("group", "all")],
            key_retention=float(grade.get("window", 0.0)),
            in_order=bool(grade.get("serial_by_key", False)),
            zones=indices(grade.get("zones_open"), zones),
            kinds=indices(grade.get("models_allowed"), models),
            threads=max(1, int(threads[index] or 1)),
            holds_tables=bool(holds[index]),
            waits_for_loads=bool(waits[index]),
        )
        for index, grade in enumerate(grades)
    )
    if not workloads:
        raise ValueError("no workloads")
    return Deployment(
        index=int(options.get("index", 0)),
        dispatchers=max(1, int(options.get("balancers", 1))),
        zone=int(options.get("zone", 0)),
        workloads=workloads,
        quotas=tuple(float(tenant.get("quota_per_s", 0.0)) for tenant in options.get("tenants", [])),
        over_quota_value=float(options.get("over_share_worth", 1.0)),
        cores=tuple(max(1, int(cores or 1)) for cores in extra.get("cpu_of_kind", [])),
        memory_mb=tuple(float(memory) for memory in extra.get("memory_by_kind_mb", [])),
        load_field=fields.index(REQUESTS_IN_FLIGHT) if REQUESTS_IN_FLIGHT in fields else None,
        list_pushed=options.get("membership_mode", "pushed") == "pushed",
        may_cancel=bool(limits.get("cancelling", False)),
        may_probe=bool(limits.get("may_probe", False)),
        may_tell=bool(limits.get("may_tell", False)),
        second_copies=bool(limits.get("second_copies", False)),
        max_attempts=max(1, int(limits.get("send_cap", 1))),
        max_retry_after=float(limits.get("max_retry_after", 0.0)) if limits.get("retry_after") else 0.0,
        grants=bool(extra.get("grants_count", False)),
        swaps=extra.get("memory_short") == "swap",
        priorities=bool(extra.get("priorities", False)),
        largest_grant=float(extra.get("grant_cap", 1.0)),
        progress_interval=float(extra.get("note_period", 0.0)),
        drain_grace=float(rules.get("drain_grace", 0.0)),
        cold_for=float(rules.get("cold", 0.0)),
        cold_share=float(rules.get("cold_share", 1.0)),
        cold_multiple=float(rules.get("fall_multiple", 1.0)),
        cold_window=float(rules.get("tip_after", 0.0)),
        order_pause=optional_float(rules.get("order_settle")),
        retry_floor=optional_float(rules.get("extra_floor")),
        retry_ratio=optional_float(rules.get("repeat_ratio")),
        retry_window=optional_float(rules.get("counted_over")),
    )
