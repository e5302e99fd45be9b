#pragma once

#include "jaylane/base/Error.h"
#include "jaylane/settings/EditMerger.h"
#include "jaylane/settings/VmSettings.h"

#include <json/value.h>
#include <string>
#include <string_view>
#include <vector>

namespace jaylane::settings {

/// Response of the administration API.
struct AdminResponse
{
  /// HTTP status code.
  int m_status = 200;
  Json::Value m_body;
};

/// Parses requests and builds responses of the administration API (docs/admin-api.md). It has
/// neither transport nor store access: the server reads and writes the document and passes it in.
class AdminApi
{
public:
  /// Checks the bearer token of a request. The duration does not depend on which token matches.
  /// @param aTokens tokens of the VM settings.
  /// @param aAuthorization value of the Authorization header; may be empty.
  /// @param aNeeded role that the request needs.
  /// @return name of the token's holder; Unauthorized if no token matches, Forbidden if the
  /// token's role does not suffice.
  static base::Result<std::string> Authorize(const std::vector<AdminToken>& aTokens,
                                             std::string_view aAuthorization,
                                             AdminRole aNeeded);

  /// @param aBody body of POST /v1/edits.
  /// @return the edit, or MalformedEdit with what is wrong.
  static base::Result<Edit> ParseEdit(std::string_view aBody);

  /// @param aBody body of POST /v1/drain or /v1/undrain.
  /// @param aRemove true for /v1/undrain.
  /// @return the edit of section "@drains" that the request stands for, or MalformedEdit with what
  /// is wrong.
  static base::Result<Edit> ParseDrain(std::string_view aBody, bool aRemove);

  /// @return response to GET /v1/settings: generation and tree.
  static AdminResponse Settings(const SettingsDocument& aDocument);

  /// @return response to GET /v1/settings/effective?path=P; status 400 if the path is malformed.
  static AdminResponse Effective(const SettingsDocument& aDocument, const std::string& aPath);

  /// @return response to GET /v1/history: the accepted edits that the document still holds.
  static AdminResponse History(const SettingsDocument& aDocument);

  /// @return response to GET /v1/edits/<id>?base_generation=N: whether the edit was accepted.
  static AdminResponse EditStatusOf(const SettingsDocument& aDocument,
                                    const std::string& aId,
                                    std::uint64_t aBaseGeneration);

  /// @param aResult result of the merge; if it has a document, that must already be stored.
  /// @return response to POST /v1/edits, /v1/drain and /v1/undrain.
  static AdminResponse MergeResponse(const MergeResult& aResult, const Edit& aEdit);

  /// @return response to POST /v1/plan: the outcome that the edit would have, and the effective
  /// settings that it would change.
  static AdminResponse Plan(const SettingsDocument& aDocument, const Edit& aEdit);

  /// @param aStatus HTTP status.
  /// @param aCode error code for programs, such as "store-unavailable".
  /// @param aMessage error message for the operator.
  /// @param aKey path or key that the error is about; may be empty.
  /// @return {"error":{"code","message","key"}}.
  static AdminResponse Error(int aStatus,
                             std::string_view aCode,
                             std::string_view aMessage,
                             std::string_view aKey = {});

  /// @param aError error of this package, such as one returned by Authorize() or ParseEdit(). An
  /// error of another package becomes status 500.
  static AdminResponse Error(const base::Error& aError);
};

} // namespace jaylane::settings
