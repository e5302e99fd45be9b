#include "jaylane/gateway/GatewayError.h"

namespace jaylane::gateway {

namespace {

class Category final : public std::error_category
{
public:
  const char* name() const noexcept override { return "gateway"; }

  std::string message(int aValue) const override
  {
    switch (static_cast<GatewayErrc>(aValue)) {
      case GatewayErrc::Ok:
        return "success";
      case GatewayErrc::InvalidSettings:
        return "invalid settings";
      case GatewayErrc::ListenFailed:
        return "cannot listen";
      case GatewayErrc::AddressUnavailable:
        return "cannot listen now";
      case GatewayErrc::InvalidStoreResponse:
        return "invalid response of the store";
    }
    return "unknown error";
  }
};

} // namespace

const std::error_category& GatewayCategory()
{
  static const Category sCategory;
  return sCategory;
}

std::error_code make_error_code(GatewayErrc aCode)
{
  return { static_cast<int>(aCode), GatewayCategory() };
}

} // namespace jaylane::gateway
