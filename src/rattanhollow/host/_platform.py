"""The protocols of the users' platform, as the composition root takes them."""

from rattanhollow import platform
from rattanhollow.host._ends import Ends
from rattanhollow.net import HttpClient
from rattanhollow.observe import Meter, kinds
from rattanhollow.settings import LineHostSettings


def platform_ends(settings: LineHostSettings, meter: Meter | None = None) -> Ends:
    """Return the protocols of the users' platform; ``meter`` counts the calls."""
    address = settings.place.address
    upstreams = settings.upstreams
    store = HttpClient(address, *upstreams.store)
    promotion = HttpClient(address, *(upstreams.promotion or upstreams.store))
    counting = meter if meter is not None else Meter()

    def called(call: str, outcome: str) -> None:
        counting.count(kinds.STORE_CALLS, call, outcome)

    def era_changed() -> None:
        counting.count(kinds.STORE_ERA_CHANGES)

    return Ends(
        caller=platform.LineCaller,
        backend=platform.line_backend(address),
        store=platform.object_store(store, called, era_changed),
        promote=platform.promotion_call(promotion),
        read_routes=platform.read_routes,
        read_server=platform.read_server,
        configuration_kind=platform.CONFIGURATION_KIND,
        configuration_name=platform.CONFIGURATION_NAME,
        server_kind=platform.SERVER_KIND,
        evacuation_kind=platform.evacuation_kind(settings.requested),
        scarce_slots=platform.asks_scarce_slots(settings.requested),
        readiness_path=platform.READINESS_PATH,
        metrics_path=platform.METRICS_PATH,
    )
