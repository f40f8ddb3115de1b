#pragma once

#include <observe/event.h>

namespace Verbena::Relay {

using Observe::Event;
using Observe::Severity;

inline constexpr Event requestEnded{2100, Severity::Info, "request_ended", "A request has got its final answer."};
inline constexpr Event callFailedEvent{2101, Severity::Warning, "call_failed", "A call to a backend server brought no answer that the caller could get."};
inline constexpr Event callerLeft{2102, Severity::Info, "caller_left", "A caller closed its connection before its answer was whole."};
inline constexpr Event configurationTaken{2103, Severity::Info, "configuration_taken", "A newer configuration is in force."};
inline constexpr Event configurationRefused{
    2104, Severity::Error, "configuration_refused", "A configuration could not be read; the one before stays in force."};
inline constexpr Event serverChanged{2105, Severity::Info, "server_changed", "What is believed of a backend server has changed."};
inline constexpr Event weightsNamed{2106, Severity::Info, "weights_named", "Newer weights of a model were named."};
inline constexpr Event feedLost{2107, Severity::Warning, "feed_lost", "The store does not answer; what is known stays in force."};
inline constexpr Event feedRegained{2108, Severity::Info, "feed_regained", "The store answers again."};
inline constexpr Event readinessChanged{2109, Severity::Info, "readiness_changed", "The router asks for new callers, or no longer does."};
inline constexpr Event drainBegun{2110, Severity::Info, "drain_begun", "The router ends: it finishes what it has and wants no new callers."};
inline constexpr Event entryRefused{2111, Severity::Warning, "entry_refused", "The register's entry of a backend server could not be read."};

inline constexpr Event cacheLost{2112, Severity::Warning, "cache_lost", "An engine or a store of kept KV cache does not say what it holds."};
inline constexpr Event cacheFollowed{2113, Severity::Info, "cache_followed", "An engine or a store of kept KV cache says again what it holds."};
inline constexpr Event peerAsked{2114, Severity::Info, "peer_asked", "Another router knew changes that were not known here, and has told them."};
inline constexpr Event weightsDated{2116, Severity::Info, "weights_dated", "The store's record says when newer weights were named."};
inline constexpr Event weightsRecordFailed{
    2117, Severity::Warning, "weights_record_failed", "When weights were named could not be read from the store or written into it."};
inline constexpr Event streamMoved{2115, Severity::Info, "stream_moved", "A stream goes on elsewhere, so that its engine can load new weights."};

inline constexpr Event usageKeeperLost{
    2118, Severity::Warning, "usage_keeper_lost", "The keeper of usage caps does not answer; this router uses its own share of them."};
inline constexpr Event usageKeeperFound{2119, Severity::Info, "usage_keeper_found", "The keeper of usage caps answers again."};
inline constexpr Event routersCounted{2120, Severity::Info, "routers_counted", "The number of routers that agents named lately has changed."};
inline constexpr Event routerStoodStill{
    2121, Severity::Warning, "router_stood_still", "This process did nothing for a while; what callers sent meanwhile is read now."};

inline constexpr Event crashCounted{2122, Severity::Warning, "crash_counted", "A backend server ended while it ran a request."};
inline constexpr Event requestCleared{2123, Severity::Info, "request_cleared", "What was suspected to end backend servers was answered; it is free again."};
inline constexpr Event trialDecided{2124, Severity::Warning, "trial_decided", "A suspected request asked to run once, as the only one of its kind."};
inline constexpr Event requestBarred{
    2125, Severity::Warning, "request_barred", "A request was turned away, or not sent again, as backend servers ended under it."};
inline constexpr Event rowsUnwritten{
    2126, Severity::Warning, "rows_unwritten", "The store did not take rows of one of the router's own tables; they are sent again."};
inline constexpr Event crashRowRefused{2127, Severity::Warning, "crash_row_refused", "A row of the table of crashes could not be read."};

inline constexpr Event answerFromThePast{
    2128, Severity::Warning, "answer_from_the_past", "The store told less than it had told before; its answer was not taken."};
inline constexpr Event tableAged{
    2129, Severity::Warning, "table_aged", "What this router knows of a table may be older than a change may take to be in force."};
inline constexpr Event tableIsCurrent{2130, Severity::Info, "table_is_current", "What this router knows of a table is young enough again."};
inline constexpr Event tableDiffers{
    2131, Severity::Warning, "table_differs", "Another router has other rows of a table at the same revision; the table is read again."};
inline constexpr Event tableCorrected{2132, Severity::Warning, "table_corrected", "Rows of a table were missing or wrong here; they have been replaced."};
inline constexpr Event configurationOlder{
    2133, Severity::Warning, "configuration_older", "The store holds an older configuration than the one in force, which stays in force."};
inline constexpr Event limitChanged{2134, Severity::Warning, "limit_changed", "A backend server has named another limit, or names none any more."};
inline constexpr Event streamResumed{2135, Severity::Info, "stream_resumed", "A caller resumes a stream; where it began has been looked up."};
inline constexpr Event partSuspected{2136, Severity::Warning, "part_suspected", "Backend servers ended before they had begun to answer a part of a prompt."};
inline constexpr Event serverLeaving{2137, Severity::Info, "server_leaving", "A backend server has said in an answer that it leaves."};
inline constexpr Event restAsked{2138, Severity::Warning, "rest_asked", "A backend server has refused a request and wants none for a while."};
inline constexpr Event softwareRead{2139, Severity::Info, "software_read", "The software versions that services had before this router started are known."};
inline constexpr Event softwareUnread{
    2140, Severity::Warning, "software_unread", "The store did not tell which software versions services had; it is asked again."};
inline constexpr Event softwareRowRefused{2141, Severity::Warning, "software_row_refused", "A row of the table of software versions could not be read."};
inline constexpr Event requestTooLong{2146, Severity::Warning, "request_too_long", "A request was refused as a part of it exceeds its bound."};
inline constexpr Event memoryShort{2150, Severity::Warning, "memory_short", "Bytes held for callers and backend servers leave little memory."};
inline constexpr Event memoryEnough{2151, Severity::Info, "memory_enough", "Bytes held for callers and backend servers leave enough memory again."};
inline constexpr Event bodyRefused{2152, Severity::Warning, "body_refused", "A request was refused since there is too little memory for its body."};
inline constexpr Event callerCut{2153, Severity::Warning, "caller_cut", "A caller that did not read was cut off since memory was used up."};
inline constexpr Event routerBehind{2154, Severity::Warning, "router_behind", "This router falls behind its callers or catches up, or wants new ones or none."};

inline constexpr Event requestFailedOver{2142, Severity::Info, "request_failed_over", "A request is sent elsewhere, as its engine has fallen silent."};

inline constexpr Event callersListenerClosed{
    2155, Severity::Info, "callers_listener_closed", "The router that ends takes no new connections; those that waited were accepted."};
inline constexpr Event drainEnded{2156, Severity::Info, "drain_ended", "The router that ends has answered its callers, or its time is over."};

inline constexpr Event peerRowsRefused{
    2157, Severity::Warning, "peer_rows_refused", "Rows of another router were not taken, as the table would be longer than a process keeps."};

inline constexpr Event weightsWithdrawn{
    2158, Severity::Warning, "weights_withdrawn", "A later row names an older version of a model's weights as the newest; it counts."};

inline constexpr Event callerConnectionClosed{
    2159, Severity::Info, "caller_connection_closed", "A caller's connection was closed; what was due on it is given."};

inline constexpr Event answerGivenUp{2160, Severity::Warning, "answer_given_up", "An answer that had not come whole was given up since memory was used up."};

inline constexpr Event strayBytesReceived{
    2145, Severity::Warning, "stray_bytes_received", "A backend server sent bytes on an idle connection; they belong to no request."};

} // namespace Verbena::Relay
