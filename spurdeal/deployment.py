"""Turns an adapter's settings into a Deployment: names become indices, absent keys become defaults."""

from collections.abc import Sequence
from typing import Any

from .interface import Deployment, Effect, Reach, Workload

EFFECTS = {"repeatable": Effect.IDEMPOTENT, "by_key": Effect.IDEMPOTENT_BY_KEY, "once": Effect.NON_IDEMPOTENT}
REACHES = {"all": Reach.ALL, "zone": Reach.ZONE, "cell": Reach.CELL}
IN_HAND = "rif"


def indices(names: Sequence[Any] | None, known: Sequence[str]) -> tuple[int, ...] | None:
    """Indices of zones or kinds of machine that are given by name or by index. None: no restriction.

    Raises:
        ValueError: A name is not among the known ones.
    """
    if not names:
        return None
    return tuple(name if isinstance(name, int) else known.index(name) for name in names)


def optional(figure: Any) -> float | None:
    """The figure as a float, or None where none is set."""
    return None if figure is None else float(figure)


class BadSettings(ValueError):
    """The settings cannot be used; the message says why."""


def without_nulls(value: Any) -> Any:
    """Drop the keys whose value is null, at every depth. Null entries of lists stay."""
    if isinstance(value, dict):
        return {name: without_nulls(inner) for name, inner in value.items() if inner is not None}
    return [without_nulls(inner) for inner in value] if isinstance(value, list) else value


def report_field_names(options: dict[str, Any]) -> list[str]:
    """The names of the figures in the reports that come with answers; empty if none come."""
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
        return _deployment(without_nulls(options))
    except KeyError as missing:
        raise BadSettings(f"settings: {missing} is missing or has a value that is not known") from None
    except (TypeError, ValueError, AttributeError, IndexError) as fault:
        raise BadSettings(f"settings cannot be used: {fault}") from None


def _deployment(options: dict[str, Any]) -> Deployment:
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
            threads=max(1, int(threads[place] or 1)),
            holds_tables=bool(holds[place]),
            waits_for_loads=bool(waits[place]),
        )
        for place, grade in enumerate(grades)
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
        load_field=fields.index(IN_HAND) if IN_HAND in fields else None,
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
        order_pause=optional(rules.get("order_settle")),
        retry_floor=optional(rules.get("extra_floor")),
        retry_ratio=optional(rules.get("repeat_ratio")),
        retry_window=optional(rules.get("counted_over")),
    )
