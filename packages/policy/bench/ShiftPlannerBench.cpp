#include "jaylane/policy/ShiftPlanner.h"
