#include "jaylane/policy/CatchUp.h"
