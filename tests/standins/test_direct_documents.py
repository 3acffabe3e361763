from __future__ import annotations

import msgspec

from marlramp.platform import documents
from marlramp.platform import settings
from standins import direct_documents

REGIONS = {"dc-1": "north", "dc-2": "south"}


def test_constraints_are_decoded_as_they_were_published() -> None:
    """Guards against misspelled fields, which the decoder ignores."""
    constraints = direct_documents.Constraints(
        route_regions={"order": ["north"]},
        customer_regions=["south"],
        cold_start_s=4.0,
        cold_per_s=3.0,
    )
    published = direct_documents.configuration("o:1", constraints=constraints)
    config = documents.decode_config(
        msgspec.json.encode(published), set(REGIONS.values())
    )
    # The document has the routes "order", "stock" and "r", the services
    # "pool", "desk" and "origin", and the restricted customer "bound".
    allowed = {route.name: route.allowed_regions for route in config.routes}
    assert allowed == {"order": ("north",), "stock": (), "r": ()}
    assert config.customers is not None
    bound = next(c for c in config.customers if c.customer_id == "bound")
    assert bound.allowed_regions == ("south",)
    pool, desk, _ = config.services
    assert pool.cold_per_s == desk.cold_per_s == 3.0
    assert pool.cold_start_ms == desk.cold_start_ms == 4_000.0


def test_settings_name_the_data_centres_and_the_bounds() -> None:
    """Guards against a bound that is missing or misspelled in the file.

    The decoder would use its default.
    """
    text = direct_documents.settings_text(
        "entry-0",
        "127.0.0.1",
        seeds=["127.0.0.1"],
        store="127.0.0.1:8007",
        entry=True,
        data_centre="dc-2",
        regions=REGIONS,
        constrained=True,
    )
    decoded = settings.decode(text)
    assert decoded.regions == REGIONS
    assert (decoded.data_centre, decoded.region) == ("dc-2", "south")
    assert decoded.bounds.evacuate_ms == direct_documents.EVACUATE_MS
    assert decoded.bounds.cold_overshoot == direct_documents.COLD_OVERSHOOT
    assert decoded.bounds.cold_burst == direct_documents.COLD_BURST
