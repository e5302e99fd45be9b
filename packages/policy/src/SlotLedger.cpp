#include "jaylane/policy/SlotLedger.h"
