import sys; sys.path.insert(0,'.')
from features.steps.fleet_placement_by_end_steps import *
from features.speed_world import SpeedWorld
for speeds in ([0.8,1,1.25]*10,[1.]*30):
  for seed in range(4):
    r=[]
    for sch in (WITH_TARGET_SPEED,WITHOUT_FEATURES):
        w=SpeedWorld(speeds,5,sch,CONFIG); fill_fleet(w,seed,8); w.advance(4)
        late,wait=run_burst(w,seed,True)
        spread=[j for j in w.jobs if j.startswith("urgent") and len({t.rack for t in w.targets_of(j)})>1]
        r.append((late,wait,len(spread), {k:v for k,v in w.counts.items()}))
    print(seed,r)
