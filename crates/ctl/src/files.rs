//! Reads the declaration files named on the command line.

use std::fs;

use dragonflyrill_catalogue::{
    declare::{Declarations, Source},
    fault::{Fault, Faults},
};

use crate::error::CtlError;

/// Reads and checks `files` as one set of declarations.
///
/// # Errors
/// [`CtlError::Usage`] if `files` is empty, [`CtlError::Invalid`] with all faults of all files.
pub fn read(files: &[String]) -> Result<Declarations, CtlError> {
    if files.is_empty() {
        return Err(CtlError::Usage("no declaration file is given".to_owned()));
    }
    let mut texts = Vec::new();
    let mut faults = Vec::new();
    for file in files {
        match fs::read_to_string(file) {
            Ok(text) => texts.push(text),
            Err(e) => {
                faults.push(Fault::unreadable(file, &e));
                texts.push(String::new());
            }
        }
    }
    let sources: Vec<Source<'_>> = files
        .iter()
        .zip(&texts)
        .map(|(file, text)| Source { file, text })
        .collect();
    let parsed = Declarations::try_from(sources.as_slice());
    match parsed {
        Ok(declarations) if faults.is_empty() => Ok(declarations),
        Ok(_) => Err(Faults(faults).into()),
        Err(more) => {
            faults.extend(more.0);
            Err(Faults(faults).into())
        }
    }
}
