// Generated from schemas/experiment.schema.json by scripts/embed-documents.
#include "planschema.h"

namespace cowsliprock {

std::string_view planSchema() noexcept
{
    // clang-format off
    return R"EMBEDDED({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "Plan of an experiment",
  "type": "object",
  "additionalProperties": false,
  "required": ["kinds"],
  "definitions": {
    "share": { "type": "number", "minimum": 0, "maximum": 1, "description": "a share from 0 to 1" },
    "time": { "type": "integer", "minimum": 0, "maximum": 3600000, "description": "milliseconds, at most an hour" },
    "amount": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "cpuMillis": { "type": "integer", "minimum": 0 },
        "memoryMb": { "type": "integer", "minimum": 0 },
        "accelerators": { "type": "integer", "minimum": 0 }
      }
    }
  },
  "properties": {
    "seed": { "type": "integer", "minimum": 0 },
    "daemons": { "type": "integer", "minimum": 1, "maximum": 100 },
    "workers": { "type": "integer", "minimum": 1, "maximum": 1000 },
    "workerCapacity": { "$ref": "#/definitions/amount" },
    "storeDelayMs": { "$ref": "#/definitions/time" },
    "lengthMs": { "$ref": "#/definitions/time" },
    "settleMs": { "$ref": "#/definitions/time" },
    "kinds": {
      "type": "array",
      "minItems": 1,
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["name"],
        "properties": {
          "name": { "type": "string", "pattern": "^[a-z][a-z0-9-]{0,30}$", "description": "lower-case letters, digits and '-'" },
          "perSecond": { "type": "number", "minimum": 0, "maximum": 10000 },
          "priority": { "type": "integer", "minimum": 0, "maximum": 9 },
          "maxAttempts": { "type": "integer", "minimum": 1, "maximum": 20 },
          "steps": { "type": "integer", "minimum": 1, "maximum": 8 },
          "tasks": { "type": "integer", "minimum": 1, "maximum": 500 },
          "amount": { "$ref": "#/definitions/amount" },
          "workMs": { "$ref": "#/definitions/time" },
          "gangShare": { "$ref": "#/definitions/share" },
          "failingShare": { "$ref": "#/definitions/share" },
          "cancelShare": { "$ref": "#/definitions/share" },
          "repeatShare": { "$ref": "#/definitions/share" },
          "adviceMs": { "$ref": "#/definitions/time" }
        }
      }
    },
    "troubles": {
      "type": "array",
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["kind", "atMs"],
        "properties": {
          "kind": {
            "enum": [
              "daemonKilled", "ownerKilled", "allDaemonsKilled", "daemonPaused", "ownerPaused",
              "daemonStopped", "ownerStopped", "settingsReload", "storeRefuses", "storeSilent",
              "storeCutForOne", "storeCutForOwner", "storeSlow", "storeLosesAnswers",
              "storeWritesLate", "storeForgets", "workerCrashed", "workerSilent",
              "workerOrdersLate", "workerLosesAnswers", "workerRefuses", "workerLeaves",
              "configurationChanged", "linksReset", "linksSilenced", "linksDelayed",
              "linkCutOneWay", "ownerPartitioned", "groupPartitioned"
            ]
          },
          "atMs": { "$ref": "#/definitions/time" },
          "forMs": { "$ref": "#/definitions/time" },
          "target": { "type": "integer", "minimum": 0 }
        }
      }
    }
  }
}
)EMBEDDED";
    // clang-format on
}

} // namespace cowsliprock
