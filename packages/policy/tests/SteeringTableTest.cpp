#include "jaylane/policy/SteeringTable.h"
