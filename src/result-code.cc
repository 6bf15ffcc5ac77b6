// Table of result codes. See result-code.h.

#include "kumquatpitch/result-code.h"

#include <algorithm>

namespace kumquatpitch {

namespace {

struct CodeRow {
  ResultCode Code_;
  const char *Name_;
  int HttpStatus_;
};

const CodeRow CodeTable[] = {
    {ResultCode::Ok, "ok", 200},
    {ResultCode::UsageError, "usage_error", 500},
    {ResultCode::SettingsUnreadable, "settings_unreadable", 500},
    {ResultCode::SettingsInvalid, "settings_invalid", 500},
    {ResultCode::HostUnreachable, "host_unreachable", 500},
    {ResultCode::DocumentMalformed, "document_malformed", 500},
    {ResultCode::DocumentInvalid, "document_invalid", 500},
    {ResultCode::DocumentTooLarge, "document_too_large", 500},
    {ResultCode::DocumentStale, "document_stale", 500},
    {ResultCode::DocumentHashMismatch, "document_hash_mismatch", 500},
    {ResultCode::RequestMalformed, "request_malformed", 400},
    {ResultCode::RequestHeadTooLarge, "request_head_too_large", 431},
    {ResultCode::RequestBodyTooLarge, "request_body_too_large", 413},
    {ResultCode::RouteUnknown, "route_unknown", 404},
    {ResultCode::ServiceUnknown, "service_unknown", 404},
    {ResultCode::WrongHost, "wrong_host", 421},
    {ResultCode::TokenInvalid, "token_invalid", 400},
    {ResultCode::TokenForeign, "token_foreign", 421},
    {ResultCode::TokenExpired, "token_expired", 410},
    {ResultCode::RequestDuplicate, "request_duplicate", 409},
    {ResultCode::RequestIncomplete, "request_incomplete", 408},
    {ResultCode::CallerGone, "caller_gone", 499},
    {ResultCode::RequestAlreadyRan, "request_already_ran", 409},
    {ResultCode::KeyUnknown, "key_unknown", 401},
    {ResultCode::KeyUnproven, "key_unproven", 503},
    {ResultCode::BackendUnreachable, "backend_unreachable", 502},
    {ResultCode::BackendRefused, "backend_refused", 503},
    {ResultCode::BackendTimeout, "backend_timeout", 504},
    {ResultCode::BackendBroken, "backend_broken", 502},
    {ResultCode::AnswerNotDelimited, "answer_not_delimited", 502},
    {ResultCode::AnswerTooLarge, "answer_too_large", 502},
    {ResultCode::AnswerMismatched, "answer_mismatched", 502},
    {ResultCode::NoTarget, "no_target", 503},
    {ResultCode::DeadlinePassed, "deadline_passed", 504},
    {ResultCode::RateExceeded, "rate_exceeded", 429},
    {ResultCode::InProgressExceeded, "in_progress_exceeded", 429},
    {ResultCode::QueueFull, "queue_full", 503},
    {ResultCode::QueueWaitTooLong, "queue_wait_too_long", 503},
    {ResultCode::WorkersBusy, "workers_busy", 503},
    {ResultCode::RegistryFull, "registry_full", 503},
    {ResultCode::HostLeaving, "host_leaving", 503},
    {ResultCode::BuffersFull, "buffers_full", 503},
    {ResultCode::PeerMessageMalformed, "peer_message_malformed", 500},
    {ResultCode::PeerVersionUnknown, "peer_version_unknown", 500},
    {ResultCode::PeerNotListed, "peer_not_listed", 500},
    {ResultCode::PeerMessageTooLarge, "peer_message_too_large", 500},
    {ResultCode::PlatformUnreachable, "platform_unreachable", 503},
    {ResultCode::PlatformMalformed, "platform_malformed", 503},
    {ResultCode::NotReady, "not_ready", 503},
    {ResultCode::InternalError, "internal_error", 500},
};

const CodeRow &findRow(ResultCode Code) {
  const CodeRow *Found =
      std::find_if(std::begin(CodeTable), std::end(CodeTable),
                   [Code](const CodeRow &Row) { return Row.Code_ == Code; });
  if (Found == std::end(CodeTable))
    return CodeTable[std::size(CodeTable) - 1];
  return *Found;
}

std::vector<ResultCode> collectCodes() {
  std::vector<ResultCode> Codes;
  for (const CodeRow &Row : CodeTable)
    Codes.push_back(Row.Code_);
  return Codes;
}

} // namespace

const char *resultCodeName(ResultCode Code) { return findRow(Code).Name_; }

const char *outcomeName(Outcome Value) {
  switch (Value) {
  case Outcome::NotRun:
    return "not-run";
  case Outcome::Ran:
    return "ran";
  case Outcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

int httpStatus(ResultCode Code) { return findRow(Code).HttpStatus_; }

int exitStatus(ResultCode Code) {
  constexpr int CodesPerArea = 1000;
  return static_cast<int>(Code) / CodesPerArea;
}

const std::vector<ResultCode> &allResultCodes() {
  static const std::vector<ResultCode> Codes = collectCodes();
  return Codes;
}

} // namespace kumquatpitch
