import sys; sys.path.insert(0,'.')
from features.steps.fleet_placement_by_end_steps import *
from features.speed_world import SpeedWorld
import comfreyshelf.fleet.placement_by_end as P
orig=P._Search.soonest
def soonest(self,preferred,eligible):
    r=orig(self,preferred,eligible)
    opts=[(round(o.delay_s,2),round(o.end_s,1),len(o.assignment.victims)) for o in self._late_options(preferred)]
    o2=[(round(o.delay_s,2),round(o.end_s,1)) for o in self._late_options([eligible])]
    w=self._wait_option(preferred)
    if self.goal.start_within_s<100 or len(self.unit.tasks)>1: print("   ",round(W.now-T0,2),"soonest",len(self.unit.tasks),"maxslow",round(self.goal.max_slowdown,2),"within",self.goal.start_within_s,"late",opts,"spread",o2,"wait",w and (round(w.delay_s,2),round(w.end_s,1)), "->", r and (r.can_start_now,len(r.victims)))
    return r
P._Search.soonest=soonest
seed=2
w=SpeedWorld([0.8,1,1.25]*10,5,WITH_TARGET_SPEED,CONFIG); fill_fleet(w,seed,8); w.advance(4)
W=w;T0=w.now
n0=len(w.events)
run_burst(w,seed,True)
for j in w.jobs:
  if j.startswith("urgent"):
    print(j, len(w.targets_of(j)), "acc",round(w.jobs[j].accepted_at-1e6-T0,2),"start",w.first_start_at[j+".0.0.0"]-T0,"end",w.ended_at[j]-T0,{t.rack for t in w.targets_of(j)},sorted((t.speed,round(1/w.speed(t.number),2)) for t in w.targets_of(j)))
j=w.jobs["urgent9"]; print(j.queue, j.organisation, [ (q.name,q.priority,q.stretch,q.latency_s) for q in w.core.config.queues])
