#include "jaylane/testing/CallerOptions.h"

namespace jaylane::testing {

const char* RequestKindName(RequestKind aKind)
{
  switch (aKind) {
    case RequestKind::Read:
      return "read";
    case RequestKind::Order:
      return "order";
    case RequestKind::Upload:
      return "upload";
  }
  return "unknown";
}

} // namespace jaylane::testing
