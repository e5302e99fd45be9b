#pragma once

#include "jaylane/ctl/AdminClient.h"
#include "jaylane/settings/AdminApi.h"

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace jaylane::ctl {

/// Fault of a request to a VM.
enum class Fault
{
  None,
  /// The connection is refused.
  NotSent,
  RequestLost,
  ResponseLost,
  StoreUnavailable,
};

/// State and faults of one VM.
struct FakeVm
{
  std::string m_id;
  std::string m_state = "running";
  /// Generation that the VM reports as in effect.
  std::uint64_t m_inEffect = 0;
  /// Faults of the next POST requests, in order. When it is empty, m_getFault applies to them too.
  std::deque<Fault> m_postFaults;
  /// Fault of all other requests.
  Fault m_getFault = Fault::None;
  std::vector<Json::Value> m_events;
};

/// AdminClient that simulates entry VMs which share one settings document.
class FakeVms final : public AdminClient
{
public:
  AdminClientResponse Send(const std::string& aVm, const AdminRequest& aRequest) override
  {
    m_requests.push_back(aVm + " " + aRequest.m_method + " " + aRequest.m_path);
    const auto found = m_vms.find(aVm);
    if (found == m_vms.end()) {
      return { Delivery::NotSent, 0, {}, "refused" };
    }
    FakeVm& vm = found->second;
    Fault fault = vm.m_getFault;
    if (aRequest.m_method == "POST" && !vm.m_postFaults.empty()) {
      fault = vm.m_postFaults.front();
      vm.m_postFaults.pop_front();
    }
    if (fault == Fault::NotSent) {
      return { Delivery::NotSent, 0, {}, "refused" };
    }
    if (fault == Fault::RequestLost) {
      return { Delivery::Lost, 0, {}, "timeout" };
    }
    const settings::AdminResponse response =
      fault == Fault::StoreUnavailable
        ? settings::AdminApi::Error(503, "store-unavailable", "the store is unavailable")
        : Handle(vm, aRequest);
    if (fault == Fault::ResponseLost) {
      return { Delivery::Lost, 0, {}, "timeout" };
    }
    return { Delivery::Answered, response.m_status, response.m_body, {} };
  }

  /// Makes an edit as another operator.
  void EditBy(const std::string& aAuthor, const settings::Change& aChange)
  {
    const std::string id = aAuthor + std::to_string(m_document.m_generation);
    Merge({ id, m_document.m_generation, { aChange } }, aAuthor);
  }

  /// VMs by administration address.
  std::map<std::string, FakeVm> m_vms;
  settings::SettingsDocument m_document;
  /// "<address> <method> <path>" of each request, in order.
  std::vector<std::string> m_requests;

private:
  settings::AdminResponse Merge(const settings::Edit& aEdit, const std::string& aAuthor)
  {
    settings::MergeResult result =
      settings::EditMerger::Merge(m_document, aEdit, { aAuthor, {}, "vm", "nonce" });
    if (result.m_document) {
      m_document = *result.m_document;
    }
    return settings::AdminApi::MergeResponse(result, aEdit);
  }

  settings::AdminResponse Handle(FakeVm& aVm, const AdminRequest& aRequest)
  {
    using Api = settings::AdminApi;
    const std::string& path = aRequest.m_path;
    const std::string body = aRequest.m_body.toStyledString();
    if (path == "/v1/settings") {
      return Api::Settings(m_document);
    }
    if (path.starts_with("/v1/settings/effective?path=")) {
      return Api::Effective(m_document, path.substr(path.find('=') + 1));
    }
    if (path == "/v1/history") {
      return Api::History(m_document);
    }
    if (path == "/v1/status") {
      return Status(aVm);
    }
    if (path.starts_with("/v1/timeline?after=")) {
      return Events(aVm, std::stoull(path.substr(path.find('=') + 1)));
    }
    if (path.starts_with("/v1/edits/")) {
      const std::size_t query = path.find('?');
      return Api::EditStatusOf(
        m_document, path.substr(10, query - 10), std::stoull(path.substr(path.find('=') + 1)));
    }
    const bool drain = path == "/v1/drain" || path == "/v1/undrain";
    const auto edit = drain ? Api::ParseDrain(body, path == "/v1/undrain") : Api::ParseEdit(body);
    if (!edit) {
      return Api::Error(edit.GetError());
    }
    return path == "/v1/plan" ? Api::Plan(m_document, *edit) : Merge(*edit, "me");
  }

  settings::AdminResponse Status(const FakeVm& aVm) const
  {
    settings::AdminResponse response;
    response.m_body["generation_in_effect"] = Json::UInt64(aVm.m_inEffect);
    for (const auto& [address, vm] : m_vms) {
      Json::Value entry(Json::objectValue);
      entry["id"] = vm.m_id;
      entry["zone"] = "north-a";
      entry["state"] = vm.m_state;
      entry["admin_address"] = address;
      response.m_body["vms"].append(entry);
    }
    return response;
  }

  /// Responds with two events per page, so that tests cover paging.
  static settings::AdminResponse Events(const FakeVm& aVm, std::uint64_t aAfter)
  {
    settings::AdminResponse response;
    response.m_body["events"] = Json::arrayValue;
    response.m_body["last"] = Json::UInt64(aAfter);
    for (std::size_t i = aAfter; i < std::min<std::size_t>(aAfter + 2, aVm.m_events.size()); ++i) {
      response.m_body["events"].append(aVm.m_events[i]);
      response.m_body["last"] = Json::UInt64(i + 1);
    }
    return response;
  }
};

} // namespace jaylane::ctl
