"""The regions that may see a statement.

Both a route and an organisation may name home regions; where both do, both apply.
Does no I/O: a decision about regions only.
"""

HomeRegions = frozenset[str]


def combine_home_regions(
    route_regions: tuple[str, ...], organisation_regions: tuple[str, ...]
) -> HomeRegions | None:
    """Return the regions allowed by both; None where neither names any.

    The result is empty if they have no region in common: no server may be used then.
    """
    if not route_regions and not organisation_regions:
        return None
    if not route_regions or not organisation_regions:
        return frozenset(route_regions or organisation_regions)
    return frozenset(route_regions) & frozenset(organisation_regions)


def is_allowed(region: str, homes: HomeRegions | None) -> bool:
    """Whether a statement with these home regions may be sent to ``region``."""
    return homes is None or region in homes
