#pragma once

#include "ConfigState.h"
#include "jaylane/base/HttpServer.h"
#include "jaylane/platform/Store.h"
#include "jaylane/settings/AdminApi.h"
#include "jaylane/settings/EditMerger.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace jaylane::entry {

/// The administration API (docs/admin-api.md): reads this VM's state and edits the settings in
/// the store.
class AdminServer
{
public:
  /// Parts of the state that others provide.
  struct Hooks
  {
    std::function<Json::Value()> m_status;
    std::function<Json::Value()> m_metrics;
    /// Steering forecast of an edited document, for each service.
    std::function<Json::Value(const settings::SettingsDocument&)> m_forecast;
  };

  /// @param aStore for edits; reads are served from this VM's copy.
  /// @param aConfig receives accepted edits.
  static base::Result<std::unique_ptr<AdminServer>> Make(const VmContext& aContext,
                                                         platform::Store& aStore,
                                                         ConfigState& aConfig,
                                                         Hooks aHooks);

  const base::SocketAddress& Address() const { return m_server->Address(); }

private:
  AdminServer(const VmContext& aContext,
              platform::Store& aStore,
              ConfigState& aConfig,
              Hooks aHooks);

  base::HttpReply Handle(const base::HttpRequest& aRequest);
  settings::AdminResponse Route(const base::HttpRequest& aRequest, const std::string& aWho);
  settings::AdminResponse Read(const base::HttpRequest& aRequest);
  settings::AdminResponse ReadSettings(const base::HttpRequest& aRequest) const;
  settings::AdminResponse TimeLine(const base::HttpRequest& aRequest) const;
  settings::AdminResponse Write(const base::HttpRequest& aRequest, const std::string& aWho);
  settings::AdminResponse Plan(const settings::Edit& aEdit) const;
  void TakeAccepted(const settings::MergeResult& aMerged,
                    const std::string& aText,
                    const std::string& aId);
  settings::AdminResponse ApplyEdit(const settings::Edit& aEdit, const std::string& aWho);
  settings::AdminResponse EditStatus(const base::HttpRequest& aRequest);
  base::Result<std::pair<settings::SettingsDocument, platform::Version>> Load();

  const VmContext& m_context;
  platform::Store& m_store;
  ConfigState& m_config;
  const Hooks m_hooks;
  std::atomic<std::uint64_t> m_nextNonce{ 1 };
  std::unique_ptr<base::HttpServer> m_server;
};

} // namespace jaylane::entry
