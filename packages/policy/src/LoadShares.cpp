#include "jaylane/policy/BucketLoad.h"
