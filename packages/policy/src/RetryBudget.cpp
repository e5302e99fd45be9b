#include "jaylane/policy/RetryBudget.h"
