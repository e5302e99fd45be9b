#include "jaylane/policy/AdmissionQueue.h"
