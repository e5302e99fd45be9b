#include "jaylane/policy/BlockIndex.h"
