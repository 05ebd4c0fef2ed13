"""The registry of placement policies."""

from comfreyshelf.placement import BestFit, FirstFit, Placer
from comfreyshelf.plugins import Registry

placers: Registry[Placer] = Registry("placement policy")
placers.add("firstfit", FirstFit)
placers.add("cells", BestFit)
