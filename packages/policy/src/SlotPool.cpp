#include "jaylane/policy/SlotPool.h"
