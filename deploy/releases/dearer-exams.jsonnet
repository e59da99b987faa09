// The training deployment with exams that earn more; all else is as it is.
local now = import '../samples/training.jsonnet';
now { plans: [if plan.name == 'exam' then plan { revenue: 3 } else plan for plan in now.plans] }
