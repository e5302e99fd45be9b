#pragma once

#include "jaylane/base/Error.h"
#include "jaylane/settings/EditMerger.h"
#include "jaylane/settings/VmSettings.h"

#include <json/value.h>
#include <string>
#include <string_view>
#include <vector>

namespace jaylane::settings {

/// An HTTP status and a JSON body.
struct AdminResponse
{
  int m_status = 200;
  Json::Value m_body;
};

/// Requests and responses of the administration API (docs/admin-api.md) without transport.
/// The server reads and writes the store; everything that depends only on the document is here.
class AdminApi
{
public:
  /// @param aTokens tokens of the VM settings.
  /// @param aAuthorization value of the Authorization header; may be empty.
  /// @param aNeeded role that the request needs.
  /// @return name of the token's holder, Unauthorized or Forbidden. Compares in constant time.
  static base::Result<std::string> Authorize(const std::vector<AdminToken>& aTokens,
                                             std::string_view aAuthorization,
                                             AdminRole aNeeded);

  /// @param aBody body of POST /v1/edits.
  static base::Result<Edit> ParseEdit(std::string_view aBody);

  /// @param aBody body of POST /v1/drain or /v1/undrain.
  /// @param aRemove true for /v1/undrain.
  /// @return edit to merge like any other.
  static base::Result<Edit> ParseDrain(std::string_view aBody, bool aRemove);

  /// GET /v1/settings
  static AdminResponse Settings(const SettingsDocument& aDocument);

  /// GET /v1/settings/effective?path=P
  static AdminResponse Effective(const SettingsDocument& aDocument, const std::string& aPath);

  /// GET /v1/history
  static AdminResponse History(const SettingsDocument& aDocument);

  /// GET /v1/edits/<id>?base_generation=N
  static AdminResponse EditStatusOf(const SettingsDocument& aDocument,
                                    const std::string& aId,
                                    std::uint64_t aBaseGeneration);

  /// POST /v1/edits, /v1/drain and /v1/undrain, after the write (if any) succeeded.
  static AdminResponse MergeResponse(const MergeResult& aResult, const Edit& aEdit);

  /// POST /v1/plan: the outcome that an edit would have, and which effective settings differ.
  static AdminResponse Plan(const SettingsDocument& aDocument, const Edit& aEdit);

  /// @param aStatus HTTP status.
  /// @param aCode short hyphenated code, such as "store-unavailable".
  /// @param aMessage sentence for the operator.
  /// @param aKey what the error is about; may be empty.
  /// @return {"error":{"code","message","key"}}.
  static AdminResponse Error(int aStatus,
                             std::string_view aCode,
                             std::string_view aMessage,
                             std::string_view aKey = {});

  /// @param aError error of this package, such as one returned by Authorize() or ParseEdit().
  static AdminResponse Error(const base::Error& aError);
};

} // namespace jaylane::settings
