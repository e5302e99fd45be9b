#include "jaylane/policy/ShareTable.h"
