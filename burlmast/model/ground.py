"""From a deployment's settings to the ground that the model plays on."""

from __future__ import annotations

from burlmast.model.fleet import Ground, Title
from burlmast.settings.read import nanoseconds, terms
from burlmast.settings.scenes import market, tariffs
from burlmast.settings.sheets import Deployment

WAY = 1_000_000  # nanoseconds from one machine to another


def ground(deployment: Deployment) -> Ground:
    """The same description that drives the stand-ins on sockets."""
    stand_ins, zones = deployment.stand_ins, len(deployment.zones)
    return Ground(
        terms=lambda number: terms(deployment, number, number % zones),
        gateways=deployment.gateways,
        zones=zones,
        hosts=stand_ins.hosts,
        titles=[Title(one.name, one.home, one.copies) for one in deployment.titles],
        patience=[nanoseconds(plan.abandon_ms) for plan in deployment.plans],
        market=market(deployment),
        tariffs=tariffs(deployment),
        set_up=nanoseconds(stand_ins.set_up_ms),
        way=WAY,
        list_delay=nanoseconds(stand_ins.list_delay_ms),
        tell_every=nanoseconds(stand_ins.tell_every_ms),
        deliver_every=nanoseconds(stand_ins.deliver_every_ms),
        smooth=nanoseconds(stand_ins.smooth_ms),
        tell_uplinks=stand_ins.tell_uplinks,
    )
