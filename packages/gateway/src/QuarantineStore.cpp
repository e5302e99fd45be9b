#include "QuarantineStore.h"

#include "jaylane/base/ContainErrors.h"
#include "jaylane/base/JsonText.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace jaylane::gateway {

namespace {

using policy::QuarantineRecord;
using std::chrono::milliseconds;

constexpr milliseconds kCallTimeout{ 1500 };
/// Delay of the second read, since a read may return data that is seconds old, and between reads
/// while there is a quarantine.
constexpr milliseconds kSecondReadDelay{ 5000 };
constexpr milliseconds kReadInterval{ 30'000 };
/// Delays after a failed read, and after a failed write; they double up to the maximum.
constexpr milliseconds kInitialReadBackoff{ 500 };
constexpr milliseconds kInitialBackoff{ 200 };
constexpr milliseconds kMaxBackoff{ 5000 };
/// Changes that wait, and records of a read that are removed because they have expired.
constexpr std::size_t kMaxChanges = 64;
constexpr std::size_t kMaxRemovalsPerRead = 8;
/// Objects that are read at most; further ones are ignored.
constexpr std::size_t kMaxObjects = 2048;
/// Another VM removes its own records when they expire. Those that are older than this, as a
/// multiple of their lifetime, have nobody who does.
constexpr int kOrphanLifetimes = 2;
constexpr int kFormat = 1;
/// A time that system_clock can hold: the year 2200.
constexpr std::int64_t kMaxWrittenMillis = 7'258'118'400'000;
constexpr std::size_t kFingerprintDigits = 32;
constexpr std::string_view kLiftSuffix = "-lift";
constexpr const char* kSuspect = "suspect";
constexpr const char* kConvicted = "convicted";

std::optional<policy::RequestFingerprint> FingerprintFrom(std::string_view aText)
{
  if (aText.size() != kFingerprintDigits) {
    return std::nullopt;
  }
  policy::RequestFingerprint fingerprint;
  const char* middle = aText.data() + kFingerprintDigits / 2;
  const char* end = aText.data() + kFingerprintDigits;
  const auto high = std::from_chars(aText.data(), middle, fingerprint.m_high, 16);
  const auto low = std::from_chars(middle, end, fingerprint.m_low, 16);
  const bool isValid =
    high.ec == std::errc{} && high.ptr == middle && low.ec == std::errc{} && low.ptr == end;
  return isValid ? std::optional(fingerprint) : std::nullopt;
}

const char* NameOf(QuarantineRecord::Verdict aVerdict)
{
  return aVerdict == QuarantineRecord::Verdict::Convicted ? kConvicted : kSuspect;
}

std::string ObjectName(const QuarantineRecord& aRecord)
{
  return aRecord.m_fingerprint.ToString().append("-").append(NameOf(aRecord.m_verdict));
}

Json::Value ToJson(const QuarantineRecord& aRecord)
{
  Json::Value json(Json::objectValue);
  json["format"] = kFormat;
  json["verdict"] = NameOf(aRecord.m_verdict);
  json["written_ms"] = Json::Int64{
    std::chrono::duration_cast<milliseconds>(aRecord.m_writtenAt.time_since_epoch()).count()
  };
  return json;
}

/// @return nothing if the object is no record of this format.
std::optional<QuarantineRecord> RecordFrom(const StoredObject& aObject)
{
  const Json::Value& value = *aObject.m_value;
  const auto fingerprint =
    FingerprintFrom(std::string_view(aObject.m_name).substr(0, kFingerprintDigits));
  if (!fingerprint || !value.isObject() || !value["format"].isInt() ||
      value["format"].asInt() != kFormat || !value["written_ms"].isInt64() ||
      value["written_ms"].asInt64() < 0 || value["written_ms"].asInt64() > kMaxWrittenMillis ||
      !value["verdict"].isString()) {
    return std::nullopt;
  }
  const std::string verdict = value["verdict"].asString();
  if (verdict != kSuspect && verdict != kConvicted) {
    return std::nullopt;
  }
  QuarantineRecord record;
  record.m_fingerprint = *fingerprint;
  record.m_verdict = verdict == kConvicted ? QuarantineRecord::Verdict::Convicted
                                           : QuarantineRecord::Verdict::Suspect;
  record.m_writtenAt = base::WallTime{ milliseconds{ value["written_ms"].asInt64() } };
  return record;
}

} // namespace

QuarantineStore::QuarantineStore(boost::asio::io_context& aIo,
                                 const std::string& aStoreAddress,
                                 const StoreDialect& aDialect,
                                 const base::Clock& aClock,
                                 base::AsyncLog& aLog,
                                 StoreEra& aEra,
                                 OnRead aOnRead)
  : m_dialect(aDialect)
  , m_clock(aClock)
  , m_log(aLog)
  , m_era(aEra)
  , m_onRead(std::move(aOnRead))
  , m_readFetch(std::make_shared<HttpFetch>(aIo, aStoreAddress))
  , m_changeFetch(std::make_shared<HttpFetch>(aIo, aStoreAddress))
  , m_readTimer(aIo)
  , m_changeTimer(aIo)
{
}

QuarantineStore::~QuarantineStore()
{
  m_readFetch->Close();
  m_changeFetch->Close();
}

void QuarantineStore::Read(const std::string& aAfter)
{
  if (aAfter.empty()) {
    m_page.clear();
  }
  m_readFetch->Start(
    { "GET",
      m_dialect.ListTarget(ObjectKind::Quarantines, aAfter, Freshness::MayBeStale),
      {},
      kCallTimeout },
    [this, after = aAfter](const FetchResponse& aResponse) {
      if (!base::ContainErrors(m_log, "quarantines", [&] { OnPage(aResponse, after); })) {
        ScheduleRead(kReadInterval);
      }
    });
}

void QuarantineStore::OnPage(const FetchResponse& aResponse, const std::string& aAfter)
{
  if (aResponse.IsTransientFailure()) {
    m_readBackoff = std::clamp(m_readBackoff * 2, kInitialReadBackoff, kMaxBackoff);
    ScheduleRead(m_readBackoff);
    return;
  }
  m_readBackoff = milliseconds{ 0 };
  const std::uint64_t era = m_era.Observe(aResponse);
  base::Result<ObjectBatch> batch = m_dialect.ParseList(aResponse.m_body);
  if (aResponse.m_status != 200 || !batch) {
    // A store that knows no such objects has none.
    m_log.Write(base::LogRecord("quarantines_unreadable").Add("status", aResponse.m_status));
    batch = ObjectBatch{};
  }
  batch->SetEra(era);
  std::ranges::move(batch->m_objects, std::back_inserter(m_page));
  const std::string last = m_page.empty() ? std::string{} : m_page.back().m_name;
  if (batch->m_hasMore && last != aAfter && m_page.size() < kMaxObjects) {
    Read(last);
    return;
  }
  Adopt(m_page);
  m_page.clear();
  ScheduleRead(++m_reads == 1 ? kSecondReadDelay : kReadInterval);
}

void QuarantineStore::Adopt(const std::vector<StoredObject>& aObjects)
{
  Contents contents;
  std::size_t unreadable = 0;
  std::size_t removals = 0;
  const base::WallTime now = m_clock.Wall();
  for (const StoredObject& object : aObjects) {
    if (object.m_deleted) {
      continue;
    }
    if (object.m_name.ends_with(kLiftSuffix)) {
      const auto fingerprint = FingerprintFrom(
        std::string_view(object.m_name).substr(0, object.m_name.size() - kLiftSuffix.size()));
      if (fingerprint && TakeLift(object)) {
        contents.m_lifted.push_back(*fingerprint);
      }
      continue;
    }
    const auto record = RecordFrom(object);
    if (!record) {
      ++unreadable; // Another version's, which may need it.
    } else if (!m_journal.IsExpired(*record, now)) {
      contents.m_records.push_back(*record);
    } else if (now - record->m_writtenAt >=
                 kOrphanLifetimes * policy::QuarantineJournal::Options{}.m_lifetime &&
               ++removals <= kMaxRemovalsPerRead) {
      Enqueue({ Change::Kind::Remove, object.m_name, *record, object.m_revision });
    }
  }
  m_log.Write(base::LogRecord("quarantines_read")
                .Add("records", contents.m_records.size())
                .Add("lifted", contents.m_lifted.size())
                .Add("unreadable", unreadable));
  m_onRead(std::move(contents));
}

bool QuarantineStore::TakeLift(const StoredObject& aObject)
{
  policy::StoreRevision& applied = m_lifts[aObject.m_name];
  if (aObject.m_revision <= applied) {
    return false;
  }
  // An object of an older copy keeps the number of its revision.
  const bool isSame = aObject.m_revision.Number() == applied.Number();
  applied = aObject.m_revision;
  return !isSame;
}

void QuarantineStore::OnStoreRestored()
{
  // The revisions in m_written are of the earlier era. If the copy has a record, the response to
  // its creation tells the present one.
  for (const Written& written : std::exchange(m_written, {})) {
    if (!m_journal.IsExpired(written.m_record, m_clock.Wall())) {
      Enqueue({ Change::Kind::Create, written.m_name, written.m_record });
    }
  }
}

void QuarantineStore::ScheduleRead(milliseconds aDelay)
{
  m_readTimer.expires_after(aDelay);
  m_readTimer.async_wait([this](const boost::system::error_code& aError) {
    if (aError) {
      return;
    }
    RemoveExpired();
    if (m_isActive || m_reads < 2) {
      Read({});
    } else {
      ScheduleRead(kReadInterval);
    }
  });
}

void QuarantineStore::Write(const std::vector<QuarantineRecord>& aRecords)
{
  for (const QuarantineRecord& record : aRecords) {
    Enqueue({ Change::Kind::Create, ObjectName(record), record });
  }
}

void QuarantineStore::Enqueue(Change aChange)
{
  if (m_changes.size() >= kMaxChanges) {
    m_log.Write(base::LogRecord("quarantine_dropped").Add("object", aChange.m_name));
    return;
  }
  m_changes.push_back(std::move(aChange));
  SendNext();
}

void QuarantineStore::SendNext()
{
  // A removal is bound to a revision, which the store may have given out to another object since.
  while (!m_isChanging && !m_changes.empty() && m_changes.front().m_kind == Change::Kind::Remove &&
         m_changes.front().m_revision.Era() < m_era.Current()) {
    m_changes.pop_front();
  }
  if (m_isChanging || m_changes.empty()) {
    return;
  }
  m_isChanging = true;
  const Change& change = m_changes.front();
  FetchRequest request;
  request.m_timeout = kCallTimeout;
  if (change.m_kind == Change::Kind::Remove) {
    request.m_method = "DELETE";
    request.m_target =
      m_dialect.RemoveTarget(ObjectKind::Quarantines, change.m_name, change.m_revision);
  } else {
    request.m_method = "POST";
    request.m_target = m_dialect.CreateTarget(ObjectKind::Quarantines);
    request.m_body = m_dialect.CreateBody(change.m_name, ToJson(change.m_record));
  }
  m_changeFetch->Start(std::move(request), [this](const FetchResponse& aResponse) {
    m_isChanging = false;
    if (!base::ContainErrors(m_log, "quarantine", [&] { OnChangeEnded(aResponse); })) {
      m_changes.pop_front();
      SendNext();
    }
  });
}

void QuarantineStore::OnChangeEnded(const FetchResponse& aResponse)
{
  const std::uint64_t era = m_era.Observe(aResponse);
  if (aResponse.IsTransientFailure() &&
      !m_journal.IsExpired(m_changes.front().m_record, m_clock.Wall())) {
    m_backoff = std::clamp(m_backoff * 2, kInitialBackoff, kMaxBackoff);
    m_isChanging = true;
    m_changeTimer.expires_after(m_backoff);
    m_changeTimer.async_wait([this](const boost::system::error_code& aError) {
      m_isChanging = false;
      if (!aError) {
        SendNext();
      }
    });
    return;
  }
  m_backoff = milliseconds{ 0 };
  const Change change = m_changes.front();
  m_changes.pop_front();
  const char* kind = change.m_kind == Change::Kind::Remove ? "remove" : "create";
  m_log.Write(base::LogRecord("quarantine_stored")
                .Add("object", change.m_name)
                .Add("change", kind)
                .Add("status", aResponse.m_status));
  auto object = m_dialect.ParseObject(aResponse.m_body);
  if (object) {
    object->m_revision = object->m_revision.InEra(era);
  }
  if (change.m_kind != Change::Kind::Remove && aResponse.m_status / 100 == 2 && object) {
    m_written.push_back({ change.m_name, change.m_record, object->m_revision });
  }
  if (change.m_kind == Change::Kind::Create && aResponse.m_status == 409) {
    const auto existing = object ? RecordFrom(*object) : std::nullopt;
    // This VM wrote it before a return of the store, another VM has just written the same, or the
    // record is one of an earlier time.
    if (existing && existing->m_writtenAt == change.m_record.m_writtenAt) {
      m_written.push_back({ change.m_name, change.m_record, object->m_revision });
    } else if (existing && m_journal.IsExpired(*existing, m_clock.Wall())) {
      m_changes.push_front({ Change::Kind::Replace, change.m_name, change.m_record });
      m_changes.push_front(
        { Change::Kind::Remove, change.m_name, change.m_record, object->m_revision });
    }
  }
  SendNext();
}

void QuarantineStore::RemoveExpired()
{
  const base::WallTime now = m_clock.Wall();
  std::erase_if(m_written, [&](const Written& aWritten) {
    if (!m_journal.IsExpired(aWritten.m_record, now)) {
      return false;
    }
    Enqueue({ Change::Kind::Remove, aWritten.m_name, aWritten.m_record, aWritten.m_revision });
    return true;
  });
}

} // namespace jaylane::gateway
