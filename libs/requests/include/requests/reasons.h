#pragma once

/// Reason texts of unsuccessful answers. The runtime maps each reason of the first group to its own
/// HTTP status.
namespace cowsliprock::reason {

inline constexpr const char *keyReused = "key reused";           ///< HTTP 422
inline constexpr const char *keyMissing = "key missing";         ///< HTTP 400
inline constexpr const char *unknownService = "unknown service"; ///< HTTP 404

inline constexpr const char *draining = "draining";
inline constexpr const char *noOwner = "no owner";
inline constexpr const char *noEndpoint = "no endpoint";
inline constexpr const char *endpointRefused = "endpoint refused";
inline constexpr const char *queueFull = "queue full";
inline constexpr const char *deadline = "deadline cannot be met";
inline constexpr const char *ownershipUnconfirmed = "ownership not confirmed";
inline constexpr const char *noHome = "no home";
inline constexpr const char *intentNotDurable = "intent not durable";

inline constexpr const char *outcomeUnknown = "outcome unknown";
inline constexpr const char *deadlinePassed = "deadline passed";
inline constexpr const char *callerDisconnected = "caller disconnected";

} // namespace cowsliprock::reason
