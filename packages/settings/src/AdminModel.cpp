#include "jaylane/settings/AdminModel.h"
