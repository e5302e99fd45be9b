#include "jaylane/policy/LinkBudget.h"
