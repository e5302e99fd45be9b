#include "jaylane/policy/DepartureTracker.h"
