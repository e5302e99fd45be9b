#include "jaylane/policy/Forecast.h"
