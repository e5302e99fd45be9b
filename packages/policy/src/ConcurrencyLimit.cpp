#include "jaylane/policy/ConcurrencyLimit.h"
