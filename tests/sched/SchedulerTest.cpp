#include "anvil/sched/Scheduler.h"

#include <boost/test/unit_test.hpp>
