#include "jaylane/policy/FailoverBudget.h"
