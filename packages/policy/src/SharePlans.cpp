#include "jaylane/policy/SharePlans.h"
