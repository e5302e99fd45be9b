#include "jaylane/settings/SettingsError.h"

#include <string>

namespace jaylane::settings {

namespace {

class Category final : public std::error_category
{
public:
  const char* name() const noexcept override { return "jaylane.settings"; }

  std::string message(int aCode) const override
  {
    switch (static_cast<SettingsErrc>(aCode)) {
      case SettingsErrc::Ok:
        return "success";
      case SettingsErrc::MalformedDocument:
        return "malformed settings document";
      case SettingsErrc::MalformedEdit:
        return "malformed edit";
      case SettingsErrc::InvalidTree:
        return "the edited tree is invalid";
      case SettingsErrc::Conflict:
        return "the key was changed since the base generation";
      case SettingsErrc::BaseTooOld:
        return "the base generation is older than the history";
      case SettingsErrc::BaseInFuture:
        return "the base generation does not exist yet";
      case SettingsErrc::TooLarge:
        return "the document would exceed the size limit of the store";
      case SettingsErrc::IdReused:
        return "the edit id belongs to a different edit";
      case SettingsErrc::NotFound:
        return "not found";
      case SettingsErrc::Unauthorized:
        return "missing or unknown token";
      case SettingsErrc::Forbidden:
        return "the token's role does not allow this request";
    }
    return "unknown error";
  }
};

} // namespace

const std::error_category& SettingsCategory()
{
  static const Category sCategory;
  return sCategory;
}

std::error_code make_error_code(SettingsErrc aCode)
{
  return { static_cast<int>(aCode), SettingsCategory() };
}

} // namespace jaylane::settings
