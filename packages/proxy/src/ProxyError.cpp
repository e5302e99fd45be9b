#include "jaylane/proxy/ProxyError.h"

#include <string>

namespace jaylane::proxy {

namespace {

class Category final : public std::error_category
{
public:
  const char* name() const noexcept override { return "jaylane.proxy"; }

  std::string message(int aCode) const override
  {
    switch (static_cast<ProxyErrc>(aCode)) {
      case ProxyErrc::Ok:
        return "success";
      case ProxyErrc::ListenFailed:
        return "cannot listen on the caller address";
      case ProxyErrc::Overloaded:
        return "too many requests in flight";
    }
    return "unknown error";
  }
};

} // namespace

const std::error_category& ProxyCategory()
{
  static const Category sCategory;
  return sCategory;
}

std::error_code make_error_code(ProxyErrc aCode)
{
  return { static_cast<int>(aCode), ProxyCategory() };
}

} // namespace jaylane::proxy
