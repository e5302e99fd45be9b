#include "jaylane/policy/SlotBorrower.h"
