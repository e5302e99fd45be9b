#include "jaylane/platform/PlatformError.h"

namespace jaylane::platform {

namespace {

class Category final : public std::error_category
{
public:
  const char* name() const noexcept override { return "jaylane.platform"; }

  std::string message(int aCode) const override
  {
    switch (static_cast<PlatformErrc>(aCode)) {
      case PlatformErrc::Ok:
        return "success";
      case PlatformErrc::Unavailable:
        return "store unavailable";
      case PlatformErrc::Timeout:
        return "no response from the store";
      case PlatformErrc::Conflict:
        return "version conflict";
      case PlatformErrc::NotFound:
        return "object not found";
      case PlatformErrc::TooLarge:
        return "value too large";
      case PlatformErrc::Malformed:
        return "malformed data";
    }
    return "unknown error";
  }
};

} // namespace

const std::error_category& PlatformCategory()
{
  static const Category sCategory;
  return sCategory;
}

std::error_code make_error_code(PlatformErrc aCode)
{
  return { static_cast<int>(aCode), PlatformCategory() };
}

} // namespace jaylane::platform
