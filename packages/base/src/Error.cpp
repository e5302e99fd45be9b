#include "jaylane/base/Error.h"

namespace jaylane::base {

namespace {

class Category final : public std::error_category
{
public:
  const char* name() const noexcept override { return "jaylane.base"; }

  std::string message(int aCode) const override
  {
    switch (static_cast<BaseErrc>(aCode)) {
      case BaseErrc::Ok:
        return "success";
      case BaseErrc::InvalidStateChart:
        return "invalid state chart";
      case BaseErrc::InvalidValue:
        return "invalid value";
      case BaseErrc::Closed:
        return "closed";
      case BaseErrc::ListenFailed:
        return "cannot listen on address";
    }
    return "unknown error";
  }
};

} // namespace

const std::error_category& BaseCategory()
{
  static const Category sCategory;
  return sCategory;
}

std::error_code make_error_code(BaseErrc aCode)
{
  return { static_cast<int>(aCode), BaseCategory() };
}

std::string Error::Message() const
{
  return m_detail.empty() ? m_code.message() : m_code.message() + ": " + m_detail;
}

} // namespace jaylane::base
