//! Chat completions protocol: parsing of requests and formatting of answers.

use std::sync::Arc;

use serde_json::{Value, json};

use crate::{
    affinity, clock,
    ids::{ModelId, RequestId},
    refusal,
    sheet::{Service, Sheet},
    stream::End,
    verdict::{Reason, RequestError},
};

/// Last event of a complete stream.
pub const DONE: &str = "data: [DONE]\n\n";
/// Number of leading bytes of a prompt that are used to choose its worker.
const ROUTED_BYTES: usize = 16 << 10;

/// A validated request of a caller.
#[derive(Debug, Clone)]
pub struct ChatRequest {
    /// Requested model.
    pub model: ModelId,
    /// Whether the caller requested a stream.
    pub stream: bool,
    /// Body for the engine, which always requests a stream.
    pub body: Arc<Value>,
    /// Hashes of the prompt's blocks, in order.
    pub blocks: Arc<[u64]>,
}

impl ChatRequest {
    /// Parses and validates a body. Field `model` may name a model or a service that a model
    /// serves.
    ///
    /// # Errors
    ///
    /// Returns an error that names the invalid field and the fault.
    pub fn parse(bytes: &[u8], sheet: &Sheet) -> Result<Self, RequestError> {
        let mut body: Value = serde_json::from_slice(bytes)
            .map_err(|e| invalid(format!("the body is not JSON: {e}")))?;
        let Some(fields) = body.as_object_mut() else {
            return Err(invalid("the body is not a JSON object"));
        };
        let messages = check_messages(fields.get("messages"))?;
        let blocks = affinity::blocks(&prompt(messages)).into();
        let stream = match fields.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(stream)) => *stream,
            Some(_) => return Err(invalid("field 'stream' is not true or false")),
        };
        let Some(name) = fields.get("model").and_then(Value::as_str) else {
            return Err(invalid("field 'model' is missing or not a text"));
        };
        let model = find_model(name, sheet)?;
        fields.insert("model".into(), Value::from(&*model));
        fields.insert("stream".into(), Value::Bool(true));
        Ok(Self {
            model,
            stream,
            body: Arc::new(body),
            blocks,
        })
    }
}

fn check_messages(messages: Option<&Value>) -> Result<&[Value], RequestError> {
    let Some(messages) = messages.and_then(Value::as_array) else {
        return Err(invalid("field 'messages' is missing or not a list"));
    };
    if messages.is_empty() {
        return Err(invalid("field 'messages' is empty"));
    }
    let has_role = |m: &Value| m.get("role").is_some_and(Value::is_string);
    if !messages.iter().all(has_role) {
        return Err(invalid("field 'messages' has an entry without a role"));
    }
    Ok(messages)
}

/// Returns the start of the prompt text: the contents of the messages, one per line.
fn prompt(messages: &[Value]) -> String {
    let mut text = String::new();
    for message in messages {
        if text.len() >= ROUTED_BYTES {
            break;
        }
        match &message["content"] {
            Value::String(content) => text.push_str(content),
            Value::Array(parts) => {
                let texts = parts.iter().filter_map(|p| p["text"].as_str());
                text.extend(texts);
            }
            _ => {}
        }
        text.push('\n');
    }
    text
}

fn find_model(name: &str, sheet: &Sheet) -> Result<ModelId, RequestError> {
    if let Some((model, _)) = sheet.models.get_key_value(name) {
        return Ok(model.clone());
    }
    if let Some(Service::Model(model)) = sheet.services.get(name) {
        return Ok(model.clone());
    }
    let message = format!("no model '{name}'");
    Err(RequestError::not_run(Reason::NotFound, message))
}

fn invalid(message: impl Into<Arc<str>>) -> RequestError {
    RequestError::not_run(Reason::Invalid, message)
}

/// Formats the answer to one request.
#[derive(Debug, Clone)]
pub struct Answer {
    id: RequestId,
    model: ModelId,
    created: u64,
}

impl Answer {
    /// Creates the formatter for a request that starts now.
    pub fn new(id: RequestId, model: ModelId) -> Self {
        Self {
            id,
            model,
            created: clock::unix_time().as_secs(),
        }
    }

    /// Returns the event for a piece of text.
    pub fn text_event(&self, text: &str, first: bool) -> String {
        let mut delta = json!({ "content": text });
        if first {
            delta["role"] = "assistant".into();
        }
        self.chunk(delta, Value::Null)
    }

    /// Returns the events that end a complete stream.
    pub fn end_events(&self, end: &End) -> String {
        let mut events = self.chunk(json!({}), Value::from(&*end.finish));
        events.push_str(DONE);
        events
    }

    /// Returns the answer as one JSON body.
    pub fn whole(&self, text: &str, end: &End) -> String {
        json!({
            "id": format!("chatcmpl-{}", self.id),
            "object": "chat.completion",
            "created": self.created,
            "model": &*self.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": &*end.finish,
            }],
            "usage": { "completion_tokens": end.tokens },
        })
        .to_string()
    }

    /// Returns a stored answer as events, or `None` when it cannot be decoded.
    pub fn replay(&self, stored: &str) -> Option<String> {
        let stored: Value = serde_json::from_str(stored).ok()?;
        let choice = stored.get("choices")?.get(0)?;
        let text = choice.get("message")?.get("content")?.as_str()?;
        let end = End {
            finish: choice.get("finish_reason")?.as_str()?.into(),
            tokens: stored.get("usage")?.get("completion_tokens")?.as_u64()?,
        };
        let events = [self.text_event(text, true), self.end_events(&end)];
        Some(events.concat())
    }

    fn chunk(&self, delta: Value, finish: Value) -> String {
        let chunk = json!({
            "id": format!("chatcmpl-{}", self.id),
            "object": "chat.completion.chunk",
            "created": self.created,
            "model": &*self.model,
            "choices": [{ "index": 0, "delta": delta, "finish_reason": finish }],
        });
        format!("data: {chunk}\n\n")
    }
}

/// Returns the event that ends an incomplete stream.
pub fn error_event(error: &RequestError) -> String {
    format!("data: {}\n\n", refusal::body(error))
}

/// Returns the list of models of a sheet as JSON.
pub fn models(sheet: &Sheet) -> String {
    let mut names: Vec<&ModelId> = sheet.models.keys().collect();
    names.sort();
    let entry = |name: &&ModelId| json!({ "id": &***name, "object": "model", "created": 0, "owned_by": &*sheet.deployment });
    let data: Vec<Value> = names.iter().map(entry).collect();
    json!({ "object": "list", "data": data }).to_string()
}
