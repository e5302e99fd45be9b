#include "jaylane/policy/LegalFilter.h"
